// Decisions of a stub resolver without I/O (RFC 1035, 4.2.1 and 7.2; RFC 7766 for TCP): which of several
// resolvers is queried, how long its response is awaited, and what follows a failure. Times are microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_STUB_RESOLVER_HPP_
#define TULIPYOKE_SRC_DNSSD_STUB_RESOLVER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/dnssd/message.hpp"
#include "src/dnssd/query.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::dnssd {

struct StubResolverOptions {
  std::size_t resolver_count = 1;
  Micros udp_timeout = 250'000;       // of the first attempt; doubled for each further attempt of one query
  Micros tcp_timeout = 1'500'000;     // of a complete response, connection establishment included
  int max_attempts = 3;               // of one query, over all resolvers
  Micros initial_cooldown = 500'000;  // a failed resolver is not preferred for so long; doubled each time
  Micros max_cooldown = 5'000'000;
};

struct StubResolverCounters {
  std::uint64_t udp_queries = 0;
  std::uint64_t tcp_queries = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t unreachable = 0;
  std::uint64_t refused = 0;  // response codes that are no answer
  std::uint64_t malformed = 0;
  std::uint64_t failovers = 0;  // retries at another resolver
};

// Resolves queries by way of a transport that the caller runs: after each call it takes the transmissions to
// send and the results to deliver. Not thread-safe.
class StubResolver {
 public:
  explicit StubResolver(const StubResolverOptions& options);

  // Begins the first attempt. With `query.resolver` set, only that resolver is queried, once per transport.
  void Submit(Micros now, const Query& query);
  // Forgets a query: it has no result.
  void Cancel(QueryId id) { queries_.erase(id); }
  // The messages of one response; over UDP just one. Those of attempts that are over are ignored.
  void OnResponse(Micros now, QueryId id, int attempt, std::vector<Message> messages);
  void OnFailure(Micros now, QueryId id, int attempt, QueryError error);
  // The resolver answers from a zone copy known to be outdated: it is preferred last for a while.
  void MarkStale(Micros now, std::size_t resolver);
  // The index of the resolver that a query without one would go to at this moment.
  std::size_t PreferredResolver(Micros now) const;

  std::vector<Transmission> TakeTransmissions() { return std::exchange(transmissions_, {}); }
  std::vector<QueryResult> TakeResults() { return std::exchange(results_, {}); }
  const StubResolverCounters& counters() const { return counters_; }
  // Queries without a result as yet.
  std::size_t pending() const { return queries_.size(); }

 private:
  struct QueryState {
    Question question;
    std::optional<std::uint32_t> serial;
    bool single_resolver = false;
    std::size_t resolver = 0;
    Transport transport = Transport::kUdp;
    int attempt = 0;
  };
  struct Health {
    int consecutive_failures = 0;
    Micros cooldown_until = 0;
  };

  void Transmit(Micros now, QueryId id, QueryState& query);
  void CoolDown(Micros now, std::size_t resolver);
  void CountFailure(QueryError error);

  StubResolverOptions options_;
  std::vector<Health> health_;  // by resolver
  std::size_t last_responsive_ = 0;
  std::map<QueryId, QueryState> queries_;
  std::vector<Transmission> transmissions_;
  std::vector<QueryResult> results_;
  StubResolverCounters counters_;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_STUB_RESOLVER_HPP_
