#include "src/pg/answer.hpp"

#include <charconv>

namespace tulipyoke::pg {
namespace {

// Only these codes prove that nothing ran; whatever else a server may say, it may have run. A probe has no
// effect, and 57P03 turns it away: the server is there, and has just been asked by too many at once.
Status StatusOf(const std::string& code, AnswerReader::Query query) {
  if (code == "25006" || code == "72000") return Status::kMiss;
  if (code == "53300" || (code == "57P03" && query == AnswerReader::Query::kProbe)) return Status::kFull;
  return Status::kError;
}

}  // namespace

bool AnswerReader::Take(const Message& message) {
  switch (message.type) {
    case 'T':
      if (described_ || ended()) throw ProtocolError("a description that does not begin an answer");
      CheckSingleColumn(message.body);
      described_ = true;
      outcome_.result.row_description = message.body;
      return false;
    case 'D':
      BeginRow();
      outcome_.result.value = ParseSingleColumn(message.body);
      return false;
    case 'C':
      if (ended()) throw ProtocolError("a second end in one answer");
      if (message.body.find('\0') + 1 != message.body.size()) throw ProtocolError("a tag that does not end");
      complete_ = true;
      outcome_.result.command_tag = message.body;
      return false;
    case 'I':
      if (ended()) throw ProtocolError("a second end in one answer");
      complete_ = true;
      return false;
    case 'E':
      if (ended()) throw ProtocolError("a second end in one answer");
      error_code_ = ParseError(message.body).code;
      if (error_code_.empty()) throw ProtocolError("an error without a code");
      return false;
    case 'S':
      TakeStatus(message.body);
      return false;
    case 'N':
    case 'A':
      return false;
    case 'Z':
      if (!ended()) throw ProtocolError("ready again without an answer");
      if (message.body != "I") throw ProtocolError("a state that no single statement leaves");
      return true;
    default:
      throw ProtocolError("a message that no simple query calls for");
  }
}

void AnswerReader::BeginRow() {
  if (!described_ || row_ || ended()) throw ProtocolError("a row that was not announced");
  row_ = true;
}

void AnswerReader::TakeStatus(std::string_view body) {
  const auto [name, value] = ParseParameterStatus(body);
  if (name == "replication_role") {
    outcome_.role = value == "primary"   ? Role::kPrimary
                    : value == "standby" ? Role::kReplica
                                         : Role::kUnknown;
  } else if (name == "log_position") {
    std::int64_t position = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), position);
    const bool whole = error == std::errc() && end == value.data() + value.size();
    if (whole && position > 0) outcome_.position_unix_ms = position;
  } else if (name == "pressure") {
    outcome_.report = ParseLoadReport(std::string(value));
  }
}

std::optional<Outcome> AnswerReader::Settled() const {
  Outcome outcome = outcome_;
  if (!error_code_.empty()) {
    outcome.status = StatusOf(error_code_, query_);
    outcome.result = {};
    return outcome;
  }
  if (!complete_) return std::nullopt;
  // No row: the server served nothing that could be passed on as its value.
  if (!row_) outcome.status = Status::kError;
  return outcome;
}

}  // namespace tulipyoke::pg
