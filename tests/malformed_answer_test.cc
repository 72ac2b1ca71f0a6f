// Targets whose answers are none of HTTP/1.1, behind an entry host.

#include <gtest/gtest.h>

#include <list>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "net/http_message.h"
#include "net/tcp_stream.h"
#include "platform/wire.h"
#include "run_until.h"
#include "support/one_host_test.h"

namespace foxtailspread {
namespace {

/// How the connection goes on behind an answer.
enum class behind_answer { kStays, kCloses, kResets };

/// An answer that is none, by its form or its end.
struct malformed_form {
  std::string name;
  std::string status_line;
  std::string fields{};  ///< Besides those that each answer has.
  std::string rest = "Content-Length: 2\r\n\r\nhi";
  behind_answer behind = behind_answer::kStays;
};

void PrintTo(const malformed_form& form, std::ostream* out) {
  *out << form.name;
}

/// A target that answers every request in this form.
class malformed_target {
 public:
  malformed_target(poller& events, malformed_form form)
      : events_(events),
        form_(std::move(form)),
        listener_(events,
                  [this](int fd) { connections_.emplace_back(*this, fd); }) {}

  status Listen() { return listener_.Listen("127.0.0.1:0"); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  int requests() const { return requests_; }

 private:
  struct connection {
    connection(malformed_target& owner, int fd)
        : target(owner),
          stream(owner.events_, HandlerFor<&connection::OnReady>(this)) {
      stream.Adopt(fd);
    }

    void OnReady(uint32_t events) {
      const read_result read =
          stream.OnWritable(events) ? stream.Read() : read_result{};
      if (read.end != read_end::kData || !reader.Feed(read.bytes)) {
        stream.Close();
        return;
      }
      while (const auto request = reader.Take()) {
        stream.Write(target.AnswerTo(*request));
        End();
      }
    }

    void End() {
      if (target.form_.behind == behind_answer::kCloses) {
        stream.Close();
      } else if (target.form_.behind == behind_answer::kResets) {
        stream.Abort();
      }
    }

    malformed_target& target;
    tcp_stream stream;
    http_reader reader{HTTP_REQUEST, {}};
  };

  std::string AnswerTo(const http_message& request) {
    ++requests_;
    const std::string attempt{
        request.Header(platform::kAttemptId).value_or("")};
    return form_.status_line + "\r\n" + form_.fields +
           std::string{platform::kAttemptId} + ": " + attempt + "\r\n" +
           std::string{platform::kSignature} + ": s\r\n" + form_.rest;
  }

  poller& events_;
  malformed_form form_;
  tcp_listener listener_;
  std::list<connection> connections_;
  int requests_ = 0;
};

class MalformedAnswerTest
    : public testing::one_host_test<::testing::TestWithParam<malformed_form>> {
 protected:
  void SetUp() override {
    one_host_test::SetUp();
    ASSERT_TRUE(malformed_.Listen());
  }

  /// Adds the target to a service and waits until it gets its first request.
  void AddMalformedTarget(const std::string& service) {
    AddTarget(service, "i-malformed", malformed_.address());
    ASSERT_TRUE(RunUntil([&] {
      Call(service);
      return malformed_.requests() > 0;
    }));
  }

  malformed_target malformed_{events_, GetParam()};
};

// Guards against bytes that are no answer and reach the caller of an order as
// one, or leave it without an answer until its deadline.
TEST_P(MalformedAnswerTest, ToAnOrderIsAnsweredAtOnceAsUnknown) {
  AddMalformedTarget("orders");
  int malformed = 0;
  for (int i = 0; i < 20; ++i) {
    const int before = malformed_.requests();
    const http_message answer = Call("orders");
    const bool was_malformed = malformed_.requests() > before;
    EXPECT_EQ(answer.status, was_malformed ? 502 : 200);
    EXPECT_EQ(answer.Header(platform::kSignature).has_value(), !was_malformed);
    malformed += was_malformed ? 1 : 0;
  }
  EXPECT_GT(malformed, 0);
}

// Guards against callers that are refused though another target serves them.
TEST_P(MalformedAnswerTest, ToAReadIsReplacedByAnotherTarget) {
  AddMalformedTarget("reads");
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Call("reads").status, 200);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Forms, MalformedAnswerTest,
    ::testing::Values(
        malformed_form{"status-0", "HTTP/1.1 000 OK", ""},
        malformed_form{"status-600", "HTTP/1.1 600 OK", ""},
        malformed_form{"space-before-colon", "HTTP/1.1 200 OK", "A : b\r\n"},
        malformed_form{"of-a-failure", "HTTP/1.1 404 x", "A : b\r\n"},
        malformed_form{"folded-first-line", "HTTP/1.1 200 OK", " A: b\r\n"},
        malformed_form{"unknown-coding", "HTTP/1.1 200 OK",
                       "Transfer-Encoding: gzip\r\n"},
        malformed_form{"switched-protocol", "HTTP/1.1 101 x", ""},
        malformed_form{"chunk-longer-than-its-size", "HTTP/1.1 200 OK", "",
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "2\r\nhiXY0\r\n\r\n"},
        malformed_form{"text-behind-size", "HTTP/1.1 200 OK", "",
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "2 junk\r\nhi\r\n0\r\n\r\n"}),
    [](const auto& info) { return "Number" + std::to_string(info.index); });

/// Answers of which the target sends only the beginning.
std::vector<malformed_form> CutForms() {
  const std::string ok = "HTTP/1.1 200 OK";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const auto cut = [](std::string name, std::string status_line,
                      std::string rest) {
    return malformed_form{.name = std::move(name),
                          .status_line = std::move(status_line),
                          .rest = std::move(rest),
                          .behind = behind_answer::kCloses};
  };
  std::vector<malformed_form> forms = {
      cut("ahead-of-length", ok, ""),
      cut("in-name", ok, "Content-Le"),
      cut("in-length", ok, "Content-Length: 1"),
      cut("behind-length", ok, "Content-Length: 0\r\n"),
      cut("in-blank-line", ok, "Content-Length: 0\r\n\r"),
      cut("ahead-of-body", ok, "Content-Length: 2\r\n\r\n"),
      cut("in-body", ok, "Content-Length: 2\r\n\r\nh"),
      cut("in-size", ok, chunked + "2"),
      cut("in-data", ok, chunked + "2\r\nh"),
      cut("behind-data", ok, chunked + "2\r\nhi"),
      cut("ahead-of-last-chunk", ok, chunked + "2\r\nhi\r\n"),
      cut("in-last-chunk", ok, chunked + "2\r\nhi\r\n0\r\n"),
      cut("in-trailer", ok, chunked + "2\r\nhi\r\n0\r\nA: b\r\n"),
      cut("of-version-1.0", "HTTP/1.0 200 OK", "Content-Le"),
      cut("behind-interim", "HTTP/1.1 103 x", "\r\n"),
      cut("of-no-content", "HTTP/1.1 204 x", "A: b\r\n"),
  };
  forms.push_back({.name = "reset-in-body-without-length",
                   .status_line = ok,
                   .rest = "\r\nhi",
                   .behind = behind_answer::kResets});
  return forms;
}

INSTANTIATE_TEST_SUITE_P(Cuts, MalformedAnswerTest,
                         ::testing::ValuesIn(CutForms()), [](const auto& info) {
                           return "Number" + std::to_string(info.index);
                         });

}  // namespace
}  // namespace foxtailspread
