// Heads of HTTP/1.1 and the framing of bodies in chunks, as RFC 9112 and RFC
// 9110 define them, in both directions.

#include "net/http_head.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_message.h"

namespace foxtailspread {
namespace {

/// A message and what is wrong with it; nothing if it is right.
struct message_form {
  std::string name;
  http_parser_type type;
  std::string bytes;
  message_problem problem = message_problem::kNone;
};

void PrintTo(const message_form& form, std::ostream* out) { *out << form.name; }

message_form Answer(std::string name, std::string bytes,
                    message_problem problem = message_problem::kNone) {
  return {std::move(name), HTTP_RESPONSE, std::move(bytes), problem};
}

message_form Request(std::string name, std::string bytes,
                     message_problem problem = message_problem::kNone) {
  return {std::move(name), HTTP_REQUEST, std::move(bytes), problem};
}

/// An answer of 200 with these fields and no body.
message_form AnswerField(std::string name, std::string_view fields,
                         message_problem problem = message_problem::kNone) {
  return Answer(std::move(name),
                std::string{"HTTP/1.1 200 OK\r\n"}.append(fields).append(
                    "Content-Length: 0\r\n\r\n"),
                problem);
}

/// A request with these fields and no body.
message_form RequestField(std::string name, std::string_view fields,
                          message_problem problem = message_problem::kNone) {
  return Request(
      std::move(name),
      std::string{"POST /a HTTP/1.1\r\nHost: h\r\n"}.append(fields).append(
          "\r\n"),
      problem);
}

std::vector<message_form> FormsOfBothDirections() {
  const std::string_view with_null{"A: b\0c\r\n", 8};
  std::vector<message_form> forms;
  const auto add = [&](const std::string& name, std::string_view fields,
                       message_problem problem = message_problem::kNone) {
    forms.push_back(AnswerField("answer-" + name, fields, problem));
    forms.push_back(RequestField("request-" + name, fields, problem));
  };
  add("token-of-all-characters", "!#$%&'*+-.^_`|~09azAZ: b\r\n");
  add("empty-value", "A:\r\n");
  add("spaces-around-value", "A: \t b c \t\r\n");
  add("value-beyond-ascii", "A: \x80\xFF\r\n");
  add("line-that-ends-with-lf", "A: b\n");
  add("space-before-colon", "A : b\r\n", message_problem::kFieldName);
  add("tab-before-colon", "A\t: b\r\n", message_problem::kFieldName);
  add("space-before-colon-of-framing", "Transfer-Encoding : chunked\r\n",
      message_problem::kFieldName);
  add("space-in-name", "A b: c\r\n", message_problem::kFieldName);
  add("empty-name", ": b\r\n", message_problem::kFieldName);
  add("no-colon", "A\r\n", message_problem::kFieldName);
  add("separator-in-name", "A(b): c\r\n", message_problem::kFieldName);
  add("control-in-name", "A\x01: b\r\n", message_problem::kFieldName);
  add("name-beyond-ascii", "\xC3\xA4: b\r\n", message_problem::kFieldName);
  add("folded-first-line", " A: b\r\n", message_problem::kFoldedLine);
  add("folded-line", "A: b\r\n c\r\n", message_problem::kFoldedLine);
  add("folded-empty-line", "A: b\r\n \r\n", message_problem::kFoldedLine);
  add("line-folded-with-tab", "A: b\r\n\tc\r\n", message_problem::kFoldedLine);
  add("null-in-value", with_null, message_problem::kFieldValue);
  add("control-in-value", "A: b\x1B\r\n", message_problem::kFieldValue);
  add("delete-in-value", "A: b\x7F\r\n", message_problem::kFieldValue);
  add("cr-in-value", "A: b\rc\r\n", message_problem::kLineEnding);
  add("signed-length", "Content-Length: +0\r\n",
      message_problem::kContentLength);
  return forms;
}

/// Bodies in chunks, each with one chunk of data.
std::vector<message_form> ChunkForms() {
  using enum message_problem;
  std::vector<message_form> forms;
  const auto add = [&](const std::string& name, const std::string& body,
                       message_problem problem = kNone) {
    const std::string fields = "Transfer-Encoding: chunked\r\n\r\n";
    forms.push_back(Answer("answer-" + name,
                           "HTTP/1.1 200 OK\r\n" + fields + body, problem));
    forms.push_back(Request("request-" + name,
                            "POST / HTTP/1.1\r\nHost: h\r\n" + fields + body,
                            problem));
  };
  const std::string rest = "\r\nhi\r\n0\r\n\r\n";
  const std::string last = "\r\n0\r\n\r\n";
  add("chunk", "2" + rest);
  add("size-with-zeros", "0002" + rest);
  add("size-in-both-cases", "aA\r\n" + std::string(0xAA, 'x') + last);
  add("last-chunk-of-zeros", "2\r\nhi\r\n000\r\n\r\n");
  add("extension", "2;a" + rest);
  add("extension-with-token", "2;a=b" + rest);
  add("extension-with-quotes", "2;a=\"b;\\\"c\"" + rest);
  add("extensions", "2;a;b=c;d=\"\";e" + rest);
  add("extension-with-spaces", "2 ; a\t= b ;c ;d" + rest);
  add("extension-of-last-chunk", "2\r\nhi\r\n0;a\r\n\r\n");
  add("no-size", rest, kChunkSize);
  add("size-beyond-all-numbers", std::string(17, 'F') + rest, kChunkSize);
  add("signed-size", "+2" + rest, kChunkSize);
  add("size-in-c-notation", "0x2" + rest, kChunkSize);
  add("space-before-size", " 2" + rest, kChunkSize);
  add("text-behind-size", "2z" + rest, kChunkSize);
  add("size-that-ends-with-lf", "2\nhi" + last, kChunkSize);
  add("space-behind-size", "2 " + rest, kChunkExtension);
  add("text-behind-space", "2 junk" + rest, kChunkExtension);
  add("extension-without-name", "2;" + rest, kChunkExtension);
  add("value-without-name", "2;=b" + rest, kChunkExtension);
  add("extension-without-value", "2;a=" + rest, kChunkExtension);
  add("space-in-extension", "2;a b" + rest, kChunkExtension);
  add("space-behind-name", "2;a " + rest, kChunkExtension);
  add("control-in-extension", "2;a\x01" + rest, kChunkExtension);
  add("control-in-quotes", "2;a=\"\x01\"" + rest, kChunkExtension);
  add("open-quotes", "2;a=\"b" + rest, kChunkExtension);
  add("text-behind-quotes", "2;a=\"b\"c" + rest, kChunkExtension);
  add("lf-in-extension", "2;a\nhi" + last, kChunkExtension);
  add("cr-behind-size", "2\rXhi" + last, kLineEnding);
  add("data-longer-than-size", "2\r\nhiXY0\r\n\r\n", kChunkData);
  add("data-that-ends-with-cr", "2\r\nhi\rX0\r\n\r\n", kChunkData);
  add("data-that-ends-with-lf", "2\r\nhi\n0\r\n\r\n", kChunkData);
  add("data-shorter-than-size", "4\r\nhi" + last, kChunkData);
  return forms;
}

std::vector<message_form> AnswerForms() {
  using enum message_problem;
  const std::string rest = "\r\nContent-Length: 0\r\n\r\n";
  const std::string empty_chunks = "\r\n0\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return {
      Answer("reason", "HTTP/1.1 200 all is well" + rest),
      Answer("empty-reason", "HTTP/1.1 200 " + rest),
      Answer("no-reason", "HTTP/1.1 200" + rest),
      Answer("reason-beyond-ascii", "HTTP/1.1 200 \xC3\xA4" + rest),
      Answer("unnamed-status", "HTTP/1.1 299 x" + rest),
      Answer("highest-status", "HTTP/1.1 599 x" + rest),
      Answer("version-1.0", "HTTP/1.0 200 OK" + rest),
      Answer("version-1.9", "HTTP/1.9 200 OK" + rest),
      Answer("interim", "HTTP/1.1 103 Early Hints\r\n\r\n"),
      Answer("no-content", "HTTP/1.1 204 No Content\r\n\r\n"),
      Answer("chunks", ok + "transfer-encoding: Chunked\r\n" + empty_chunks),
      Answer("length-between-tabs", ok + "Content-Length:\t0 \t \r\n\r\n"),
      Answer("coding-between-tabs",
             ok + "Transfer-Encoding:\tchunked \t\r\n" + empty_chunks),
      Answer("name-that-begins-with-a-coding",
             ok + "Transfer-Encoding: chunked\r\nTransfer-Encodings: a\r\n" +
                 empty_chunks),
      Answer("name-that-begins-with-a-coding-beside-length",
             ok + "Transfer-Encodings: chunked" + rest),
      Answer("reason-ahead-of-tab", "HTTP/1.1 200 OK\t" + rest),
      Answer("status-0", "HTTP/1.1 000 OK" + rest, kStatusCode),
      Answer("status-below-100", "HTTP/1.1 099 OK" + rest, kStatusCode),
      Answer("status-600", "HTTP/1.1 600 OK" + rest, kStatusCode),
      Answer("status-999", "HTTP/1.1 999 OK" + rest, kStatusCode),
      Answer("status-of-one-digit", "HTTP/1.1 2 OK" + rest, kStatusCode),
      Answer("status-of-two-digits", "HTTP/1.1 20 OK" + rest, kStatusCode),
      Answer("status-of-four-digits", "HTTP/1.1 2000 OK" + rest, kStatusCode),
      Answer("status-with-letter", "HTTP/1.1 20O OK" + rest, kStatusCode),
      Answer("negative-status", "HTTP/1.1 -20 OK" + rest, kStatusCode),
      Answer("no-status", "HTTP/1.1" + rest, kVersion),
      Answer("two-spaces", "HTTP/1.1  200 OK" + rest, kStatusCode),
      Answer("tab-as-space", "HTTP/1.1\t200 OK" + rest, kVersion),
      Answer("space-ahead", " HTTP/1.1 200 OK" + rest, kVersion),
      Answer("line-ahead", "\r\nHTTP/1.1 200 OK" + rest, kVersion),
      Answer("version-0.9", "HTTP/0.9 200 OK" + rest, kVersion),
      Answer("version-2.0", "HTTP/2.0 200 OK" + rest, kVersion),
      Answer("version-of-two-digits", "HTTP/1.10 200 OK" + rest, kVersion),
      Answer("version-in-small-letters", "http/1.1 200 OK" + rest, kVersion),
      Answer("other-protocol", "SSH-2.0-x\r\n", kVersion),
      Answer("request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", kVersion),
      Answer("control-in-reason", "HTTP/1.1 200 O\x01K" + rest, kReasonPhrase),
      Answer("cr-in-reason", "HTTP/1.1 200 O\rK" + rest, kLineEnding),
      Answer("switched-protocol", "HTTP/1.1 101 x\r\nUpgrade: x\r\n\r\n",
             kSwitchedProtocol),
      Answer("interim-with-bad-field", "HTTP/1.1 100 x\r\nA : b\r\n\r\n",
             kFieldName),
      Answer("failure-with-bad-field", "HTTP/1.1 500 x\r\nA : b" + rest,
             kFieldName),
      Answer("two-lengths", ok + "Content-Length: 0" + rest, kContentLength),
      Answer("lengths-in-list", ok + "Content-Length: 0, 0\r\n\r\n",
             kContentLength),
      Answer("empty-length", ok + "Content-Length:\r\n\r\n", kContentLength),
      Answer("length-beside-coding",
             ok + "Transfer-Encoding: chunked" + rest + "0\r\n\r\n",
             kTransferCoding),
      Answer("coding-without-chunks", ok + "Transfer-Encoding: gzip\r\n\r\n",
             kTransferCoding),
      Answer("chunks-not-last",
             ok + "Transfer-Encoding: chunked, gzip\r\n" + empty_chunks,
             kTransferCoding),
      Answer("coding-within-chunks",
             ok + "Transfer-Encoding: gzip, chunked\r\n" + empty_chunks,
             kUnknownCoding),
      Answer("two-codings",
             ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" +
                 empty_chunks,
             kTransferCoding),
      Answer("empty-coding", ok + "Transfer-Encoding:\r\n\r\n",
             kTransferCoding),
      Answer("coding-in-version-1.0",
             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + empty_chunks,
             kTransferCoding),
      Answer("bad-trailer",
             ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n",
             kFieldName),
      Answer("folded-trailer",
             ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n",
             kFoldedLine),
  };
}

std::vector<message_form> RequestForms() {
  using enum message_problem;
  const std::string rest = " HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string line = "POST / HTTP/1.1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
      Request("path", "GET /a/b" + rest),
      Request("all-characters-of-paths", "GET /-._~!$&'()*+,;=:@%2F?/?" + rest),
      Request("absolute-form", "GET http://[::1]:80/a" + rest),
      Request("asterisk-form", "OPTIONS *" + rest),
      Request("blank-line-ahead", "\r\nGET /" + rest),
      Request("version-1.0-without-host", "GET / HTTP/1.0\r\n\r\n"),
      Request("empty-host", line + "Host:\r\n\r\n"),
      Request("host-with-port", line + "Host: [::1]:80\r\n\r\n"),
      Request("chunks", line + "Host: h\r\n" + chunked + "\r\n0\r\n\r\n"),
      Request("length-between-tabs",
              line + "Host: h\t\r\nContent-Length:\t0\t\r\n\r\n"),
      Request("coding-between-tabs",
              line + "Host:\th\r\nTransfer-Encoding:\tchunked\t\r\n\r\n" +
                  "0\r\n\r\n"),
      Request("trailers",
              line + "Host: h\r\n" + chunked + "\r\n0\r\nA: b\r\n\r\n"),
      Request("name-that-begins-with-a-coding",
              line + "Host: h\r\nTransfer-Encodings: chunked\r\n\r\n"),
      Request("space-ahead", " GET /" + rest, kMethod),
      Request("separator-in-method", "G(T /" + rest, kMethod),
      Request("two-spaces", "GET  /" + rest, kRequestTarget),
      Request("control-in-target", "GET /\x01" + rest, kRequestTarget),
      Request("target-beyond-ascii", "GET /\xC3\xA4" + rest, kRequestTarget),
      Request("fragment", "GET /a#b" + rest, kRequestTarget),
      Request("quote-in-target", "GET /\"" + rest, kRequestTarget),
      Request("half-percent", "GET /%2" + rest, kRequestTarget),
      Request("no-hex-after-percent", "GET /%zz" + rest, kRequestTarget),
      Request("asterisk-of-get", "GET *" + rest, kRequestTarget),
      Request("authority-form", "CONNECT h:443" + rest, kRequestTarget),
      Request("space-in-target", "GET /a b" + rest, kVersion),
      Request("no-version", "GET /\r\nHost: h\r\n\r\n", kRequestTarget),
      Request("version-2.0", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", kVersion),
      Request("space-behind-version", "GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
              kVersion),
      Request("no-host", line + "\r\n", kHost),
      Request("two-hosts", line + "Host: h\r\nHost: h\r\n\r\n", kHost),
      Request("space-in-host", line + "Host: a b\r\n\r\n", kHost),
      Request("host-with-empty-port", line + "Host: h:\r\n\r\n"),
      Request("port-of-letters", line + "Host: h:a\r\n\r\n", kHost),
      Request("two-ports", line + "Host: h:1:2\r\n\r\n", kHost),
      Request("open-bracket", line + "Host: [::1\r\n\r\n", kHost),
      Request("two-brackets", line + "Host: [[::1]\r\n\r\n", kHost),
      Request("bracket-behind-host", line + "Host: h]\r\n\r\n", kHost),
      Request("text-behind-bracket", line + "Host: [::1]a\r\n\r\n", kHost),
      Request("path-in-host", line + "Host: a/b\r\n\r\n", kHost),
      RequestField("two-lengths", "Content-Length: 0\r\nContent-Length: 0\r\n",
                   kContentLength),
      RequestField("length-in-hexadecimal", "Content-Length: 0x0\r\n",
                   kContentLength),
      RequestField("length-beside-coding", "Content-Length: 0\r\n" + chunked,
                   kTransferCoding),
      RequestField("coding-beside-length", chunked + "Content-Length: 0\r\n",
                   kTransferCoding),
      RequestField("coding-without-chunks", "Transfer-Encoding: gzip\r\n",
                   kTransferCoding),
      RequestField("identity", "Transfer-Encoding: identity\r\n",
                   kTransferCoding),
      RequestField("coding-with-parameter",
                   "Transfer-Encoding: chunked;a=b\r\n", kTransferCoding),
      RequestField("coding-within-chunks",
                   "Transfer-Encoding: gzip, chunked\r\n", kUnknownCoding),
      Request("coding-in-version-1.0",
              "POST / HTTP/1.0\r\n" + chunked + "\r\n0\r\n\r\n",
              kTransferCoding),
      Request("bad-trailer",
              line + "Host: h\r\n" + chunked + "\r\n0\r\nA : b\r\n\r\n",
              kFieldName),
  };
}

std::vector<message_form> AllForms() {
  std::vector<message_form> all = FormsOfBothDirections();
  for (const auto& forms : {ChunkForms(), AnswerForms(), RequestForms()}) {
    all.insert(all.end(), forms.begin(), forms.end());
  }
  return all;
}

class MessageFormTest : public ::testing::TestWithParam<message_form> {
 protected:
  /// Feeds the message in pieces of this size at most.
  void Feed(size_t most) {
    const std::string_view bytes = GetParam().bytes;
    for (size_t at = 0; at < bytes.size(); at += most) {
      if (!reader_.Feed(bytes.substr(at, most))) {
        return;
      }
    }
  }

  void ExpectVerdict() {
    const message_problem problem = GetParam().problem;
    EXPECT_EQ(reader_.error() == http_parse_error::kNone,
              problem == message_problem::kNone);
    EXPECT_EQ(reader_.problem(), ToString(problem));
    EXPECT_EQ(reader_.Take().has_value(), problem == message_problem::kNone);
  }

  http_reader reader_{GetParam().type, {}};
};

// Guards against bytes that are no message of HTTP/1.1 and pass for one, and
// against messages that are refused.
TEST_P(MessageFormTest, ReadAtOnceIsJudgedByTheGrammar) {
  Feed(GetParam().bytes.size());
  ExpectVerdict();
}

// Guards against a verdict that depends on how the network cuts the bytes.
TEST_P(MessageFormTest, ReadByteByByteIsJudgedTheSame) {
  Feed(1);
  ExpectVerdict();
}

INSTANTIATE_TEST_SUITE_P(Forms, MessageFormTest,
                         ::testing::ValuesIn(AllForms()), [](const auto& info) {
                           return "Number" + std::to_string(info.index);
                         });

std::vector<message_form> SoundForms() {
  std::vector<message_form> forms = AllForms();
  std::erase_if(forms, [](const message_form& form) {
    return form.problem != message_problem::kNone;
  });
  return forms;
}

class CutMessageTest : public ::testing::TestWithParam<message_form> {
 protected:
  /// Ends the message behind each of its bytes but the last, fed in pieces of
  /// this size at most.
  static void ExpectNone(size_t most) {
    const std::string_view whole = GetParam().bytes;
    for (size_t size = 0; size < whole.size(); ++size) {
      const std::string_view cut = whole.substr(0, size);
      http_reader reader{GetParam().type, {}};
      for (size_t at = 0; at < size; at += most) {
        ASSERT_TRUE(reader.Feed(cut.substr(at, most)));
      }
      const bool began = reader.in_message();
      EXPECT_EQ(reader.FeedEnd(), !began) << cut;
      EXPECT_FALSE(reader.Take()) << cut;
    }
  }
};

// Guards against part of a message that passes for a whole one because its
// connection ended in order.
TEST_P(CutMessageTest, ReadAtOnceIsNone) {
  ExpectNone(GetParam().bytes.size());
}

// Guards against the same where the network cuts the bytes before.
TEST_P(CutMessageTest, ReadByteByByteIsNone) { ExpectNone(1); }

INSTANTIATE_TEST_SUITE_P(Forms, CutMessageTest,
                         ::testing::ValuesIn(SoundForms()),
                         [](const auto& info) {
                           return "Number" + std::to_string(info.index);
                         });

class HttpReaderTest : public ::testing::Test {
 protected:
  http_reader answers_{HTTP_RESPONSE, {}};
};

// Guards against bytes that can begin no answer and are held until the deadline
// because the end of their line is missing.
TEST_F(HttpReaderTest, FirstWrongByteOfALineIsEnoughToRefuseIt) {
  EXPECT_FALSE(answers_.Feed("HTTP/1.1 0"));
  EXPECT_EQ(answers_.problem(), "status-code");
}

// Guards against an answer without a body whose stated length is waited for.
TEST_F(HttpReaderTest, AnswersWithoutBodyEndWithTheirHead) {
  ASSERT_TRUE(
      answers_.Feed("HTTP/1.1 103 x\r\nContent-Length: 9\r\n\r\n"
                    "HTTP/1.1 304 x\r\nContent-Length: 9\r\n\r\n"
                    "HTTP/1.1 204 x\r\nContent-Length: 9\r\n\r\n"));
  for (const int status : {103, 304, 204}) {
    const auto answer = answers_.Take();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, status);
    EXPECT_EQ(answer->body, "");
  }
}

// Guards against a whole message that is lost because what follows it is none.
TEST_F(HttpReaderTest, MessageAheadOfAWrongHeadIsTaken) {
  EXPECT_FALSE(
      answers_.Feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
                    "HTTP/1.1 999 OK\r\n\r\n"));
  const auto answer = answers_.Take();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body, "hi");
  EXPECT_EQ(answers_.Take(), std::nullopt);
}

// Guards against a body in chunks whose end is lost behind its trailers.
TEST_F(HttpReaderTest, MessagesBehindTrailersAreRead) {
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;a=b\r\nhi\r\n0\r\nA: b\r\n\r\n";
  ASSERT_TRUE(answers_.Feed(chunks + chunks));
  for (int i = 0; i < 2; ++i) {
    const auto answer = answers_.Take();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "hi");
    EXPECT_EQ(answer->headers.size(), 1U);
  }
}

// Guards against values that are read as others because a tab is behind them.
TEST_F(HttpReaderTest, SpacesAndTabsBehindAValueAreNoPartOfIt) {
  ASSERT_TRUE(
      answers_.Feed("HTTP/1.1 200 OK\r\nA: b\tc \t\r\nD: \t\r\n"
                    "Connection: close\t\r\nContent-Length: 2\t\r\n\r\nhi"));
  const auto answer = answers_.Take();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->Header("A"), "b\tc");
  EXPECT_EQ(answer->Header("D"), "");
  EXPECT_FALSE(answer->keep_alive);
  EXPECT_EQ(answer->body, "hi");
}

// Guards against a call over a connection that its target has said to close.
TEST_F(HttpReaderTest, OptionBetweenTabsClosesTheConnection) {
  ASSERT_TRUE(
      answers_.Feed("HTTP/1.1 200 OK\r\nConnection: a\t,\tclose\t, b\r\n"
                    "Content-Length: 0\r\n\r\n"));
  const auto answer = answers_.Take();
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->keep_alive);
}

// Guards against spaces without end that are held because they may end a line.
TEST_F(HttpReaderTest, TabsWithoutEndAreTooLarge) {
  ASSERT_TRUE(answers_.Feed("HTTP/1.1 200 OK\r\nA: b"));
  const size_t most = http_parse_limits{}.max_header_bytes;
  EXPECT_TRUE(answers_.Feed(std::string(most, '\t')));
  EXPECT_FALSE(answers_.Feed("\t"));
  EXPECT_EQ(answers_.error(), http_parse_error::kHeadersTooLarge);
}

class HttpFormatTest : public ::testing::Test {
 protected:
  http_message answer_{.status = 200, .headers = {{"A", "b"}}, .body = "hi"};
};

// Guards against an answer of this process that is none of HTTP/1.1.
TEST_F(HttpFormatTest, AnswerOfNoFinalStatusIsWrittenAs500) {
  for (const int status : {0, 99, 100, 600}) {
    answer_.status = status;
    EXPECT_EQ(FormatAnswer(answer_, false),
              "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
        << status;
  }
}

// Guards against paths of declarations that end the request line.
TEST_F(HttpFormatTest, TargetCannotLeaveItsLine) {
  const http_message request{.method = "GET", .target = "/a%2Fb?c d\r\n\xC3"};
  EXPECT_EQ(FormatRequest(request),
            "GET /a%2Fb?c%20d%0D%0A%C3 HTTP/1.1\r\n\r\n");
}

TEST_F(HttpFormatTest, StatusWithoutNameHasNoReason) {
  answer_.status = 299;
  EXPECT_TRUE(FormatAnswer(answer_, false).starts_with("HTTP/1.1 299 \r\n"));
}

// Guards against texts of others that end the head or add a header.
TEST_F(HttpFormatTest, TextsOfOthersCannotLeaveTheirHeader) {
  answer_.headers = {{"A", "b\r\nC: d"}, {"E: f\r\nG", "h"}, {"", "i"}};
  EXPECT_EQ(FormatAnswer(answer_, false),
            "HTTP/1.1 200 OK\r\nA: b  C: d\r\nContent-Length: 2\r\n\r\nhi");
  const http_message request{
      .method = "GET", .target = "/", .headers = answer_.headers};
  EXPECT_EQ(FormatRequest(request), "GET / HTTP/1.1\r\nA: b  C: d\r\n\r\n");
}

}  // namespace
}  // namespace foxtailspread
