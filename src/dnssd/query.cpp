#include "src/dnssd/query.hpp"

namespace tulipyoke::dnssd {

const char* ToText(QueryError error) {
  switch (error) {
    case QueryError::kTimeout:
      return "no answer in time";
    case QueryError::kUnreachable:
      return "cannot be reached";
    case QueryError::kServerFailure:
      return "SERVFAIL";
    case QueryError::kRefused:
      return "refused";
    case QueryError::kMalformed:
      return "an answer that cannot be used";
  }
  return "";
}

bool IsTransfer(RecordType type) { return type == RecordType::kIxfr || type == RecordType::kAxfr; }

}  // namespace tulipyoke::dnssd
