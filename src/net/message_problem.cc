#include "net/message_problem.h"

namespace foxtailspread {

const char* ToString(message_problem problem) {
  switch (problem) {
    case message_problem::kNone:
      return "";
    case message_problem::kMethod:
      return "method";
    case message_problem::kRequestTarget:
      return "request-target";
    case message_problem::kVersion:
      return "version";
    case message_problem::kStatusCode:
      return "status-code";
    case message_problem::kReasonPhrase:
      return "reason-phrase";
    case message_problem::kLineEnding:
      return "line-ending";
    case message_problem::kFoldedLine:
      return "folded-line";
    case message_problem::kFieldName:
      return "field-name";
    case message_problem::kFieldValue:
      return "field-value";
    case message_problem::kHost:
      return "host";
    case message_problem::kContentLength:
      return "content-length";
    case message_problem::kTransferCoding:
      return "transfer-coding";
    case message_problem::kUnknownCoding:
      return "unknown-coding";
    case message_problem::kSwitchedProtocol:
      return "switched-protocol";
    case message_problem::kChunkSize:
      return "chunk-size";
    case message_problem::kChunkExtension:
      return "chunk-extension";
    case message_problem::kChunkData:
      return "chunk-data";
  }
  return "";
}

}  // namespace foxtailspread
