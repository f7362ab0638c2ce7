// Typed messages between the zone browser, the stub resolver and the DNS transport: a query, one attempt to
// send it, and its result. Plain values; times are microseconds of the caller's clock.
#ifndef TULIPYOKE_SRC_DNSSD_QUERY_HPP_
#define TULIPYOKE_SRC_DNSSD_QUERY_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/dnssd/message.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::dnssd {

// Unique within one browser; never reused.
using QueryId = std::uint64_t;

// One DNS question to be resolved.
struct Query {
  QueryId id = 0;
  Question question;
  std::optional<std::size_t> resolver;  // index; set: only this resolver's answer is wanted
  std::optional<std::uint32_t> serial;  // of the zone copy held; for an IXFR
};

enum class Transport { kUdp, kTcp };

// One attempt at a query, to be put on the wire. Its outcome is reported with the same `query` and `attempt`.
struct Transmission {
  QueryId query = 0;
  int attempt = 0;           // from 1
  std::size_t resolver = 0;  // index
  Transport transport = Transport::kUdp;
  Question question;
  std::optional<std::uint32_t> serial;  // see Query
  Micros deadline = 0;                  // the attempt has timed out then
};

// Why an attempt, or a query with all its attempts, brought no usable answer.
enum class QueryError {
  kTimeout,
  kUnreachable,    // the transport failed: ICMP error, connection refused or reset
  kServerFailure,  // SERVFAIL
  kRefused,        // REFUSED or another response code that is no answer
  kMalformed,      // the response cannot be parsed, or belongs to another question
};
// For log messages.
const char* ToText(QueryError error);

// The end of a query.
struct QueryResult {
  QueryId query = 0;
  std::size_t resolver = 0;         // index of the one that answered, or failed last
  std::optional<QueryError> error;  // of the last attempt; none: answered
  std::vector<Message> messages;    // more than one only for a zone transfer
};

// IXFR or AXFR.
bool IsTransfer(RecordType type);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_QUERY_HPP_
