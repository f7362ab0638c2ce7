#include "src/pg/answer.hpp"

#include <charconv>

namespace tulipyoke::pg {
namespace {

// Only these codes prove that nothing ran; whatever else a server may say, it may have run.
Status StatusOf(const std::string& code) {
  if (code == "25006" || code == "72000") return Status::kMiss;
  if (code == "53300") return Status::kFull;
  return Status::kError;
}

}  // namespace

bool AnswerReader::Take(const Message& message) {
  switch (message.type) {
    case 'T':
      if (described_) throw ProtocolError("a second description in one answer");
      described_ = true;
      outcome_.served.shape = message.body;
      return false;
    case 'D':
      if (!described_ || row_) throw ProtocolError("a row that was not announced");
      row_ = true;
      outcome_.served.value = ParseSingleColumn(message.body);
      return false;
    case 'C':
      complete_ = true;
      outcome_.served.tag = message.body;
      return false;
    case 'I':
      complete_ = true;
      return false;
    case 'E':
      if (error_code_.empty()) error_code_ = ParseError(message.body).code;
      if (error_code_.empty()) error_code_ = "XX000";
      return false;
    case 'S': {
      const auto [name, value] = ParseParameterStatus(message.body);
      if (name == "replication_role") {
        outcome_.role = value == "primary"   ? Role::kPrimary
                        : value == "standby" ? Role::kReplica
                                             : Role::kUnknown;
      } else if (name == "log_position") {
        std::int64_t position = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), position);
        if (error == std::errc() && position > 0) outcome_.position_unix_ms = position;
      } else if (name == "pressure") {
        outcome_.report = ParseReport(std::string(value));
      }
      return false;
    }
    case 'N':
    case 'K':
    case 'A':
      return false;
    case 'Z':
      if (!Settled()) throw ProtocolError("ready again without an answer");
      return true;
    default:
      throw ProtocolError("a message that no simple query calls for");
  }
}

std::optional<Outcome> AnswerReader::Settled() const {
  Outcome outcome = outcome_;
  if (!error_code_.empty()) {
    outcome.status = StatusOf(error_code_);
    outcome.served = {};
    return outcome;
  }
  if (!complete_) return std::nullopt;
  // No row: the server served nothing that could be passed on as its value.
  if (!row_) outcome.status = Status::kError;
  return outcome;
}

}  // namespace tulipyoke::pg
