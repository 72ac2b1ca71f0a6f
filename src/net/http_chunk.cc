#include "net/http_chunk.h"

#include "net/http_head.h"

namespace foxtailspread {
namespace {

constexpr auto kNone = message_problem::kNone;
constexpr auto kBadExtension = message_problem::kChunkExtension;

}  // namespace

checked_bytes chunk_syntax::Check(std::string_view bytes) {
  for (size_t at = 0; at < bytes.size(); ++at) {
    const message_problem problem = Take(bytes[at]);
    if (problem != kNone) {
      next_ = part::kNothing;
      return {.size = at, .problem = problem};
    }
    if (next_ == part::kNothing) {
      return {.size = at + 1, .is_last = true};
    }
  }
  return {.size = bytes.size()};
}

message_problem chunk_syntax::MoveIf(bool is_right, part next,
                                     message_problem problem) {
  if (!is_right) {
    return problem;
  }
  next_ = next;
  return kNone;
}

message_problem chunk_syntax::Take(char c) {
  switch (next_) {
    case part::kDataEnd:
      return MoveIf(c == '\r', part::kDataLineEnd, message_problem::kChunkData);
    case part::kDataLineEnd:
      return MoveIf(c == '\n', part::kFirstDigit, message_problem::kChunkData);
    case part::kFirstDigit:
    case part::kSize:
      return TakeSize(c);
    case part::kAfterSpace:
      return IsSpace(c) ? kNone
                        : MoveIf(c == ';', part::kBeforeName, kBadExtension);
    case part::kBeforeName:
    case part::kName:
    case part::kAfterName:
      return TakeName(c);
    case part::kBeforeValue:
    case part::kToken:
      return TakeValue(c);
    case part::kQuoted:
    case part::kQuotedPair:
      return TakeQuoted(c);
    case part::kAfterQuoted:
      return TakeEnd(c);
    case part::kLineEnd:
      return MoveIf(c == '\n', part::kNothing, message_problem::kLineEnding);
    case part::kNothing:
      break;
  }
  return message_problem::kChunkSize;
}

message_problem chunk_syntax::TakeSize(char c) {
  if (IsHexDigit(c)) {
    return MoveIf(true, part::kSize, kNone);
  }
  return next_ == part::kSize && TakeEnd(c) == kNone
             ? kNone
             : message_problem::kChunkSize;
}

message_problem chunk_syntax::TakeName(char c) {
  if (next_ == part::kBeforeName) {
    return IsSpace(c) ? kNone
                      : MoveIf(IsTokenCharacter(c), part::kName, kBadExtension);
  }
  if (next_ == part::kName && IsTokenCharacter(c)) {
    return kNone;
  }
  if (c == '=') {
    return MoveIf(true, part::kBeforeValue, kNone);
  }
  if (IsSpace(c)) {
    return MoveIf(true, part::kAfterName, kNone);
  }
  return next_ == part::kName
             ? TakeEnd(c)
             : MoveIf(c == ';', part::kBeforeName, kBadExtension);
}

message_problem chunk_syntax::TakeValue(char c) {
  if (IsTokenCharacter(c)) {
    return MoveIf(true, part::kToken, kNone);
  }
  if (next_ == part::kToken) {
    return TakeEnd(c);
  }
  return IsSpace(c) ? kNone : MoveIf(c == '"', part::kQuoted, kBadExtension);
}

message_problem chunk_syntax::TakeQuoted(char c) {
  if (!IsFieldValueCharacter(c)) {
    return kBadExtension;
  }
  if (next_ == part::kQuotedPair) {
    return MoveIf(true, part::kQuoted, kNone);
  }
  if (c == '"') {
    return MoveIf(true, part::kAfterQuoted, kNone);
  }
  return MoveIf(true, c == '\\' ? part::kQuotedPair : part::kQuoted, kNone);
}

message_problem chunk_syntax::TakeEnd(char c) {
  if (c == '\r') {
    return MoveIf(true, part::kLineEnd, kNone);
  }
  if (c == ';') {
    return MoveIf(true, part::kBeforeName, kNone);
  }
  return MoveIf(IsSpace(c), part::kAfterSpace, kBadExtension);
}

}  // namespace foxtailspread
