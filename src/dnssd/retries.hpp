// Which resolver is asked, how long its answer is waited for, and what follows when it fails: the decisions
// of a stub resolver (RFC 1035, 4.2.1 and 7.2; RFC 7766 for TCP), without sockets. Times are microseconds.
#ifndef TULIPYOKE_SRC_DNSSD_RETRIES_HPP_
#define TULIPYOKE_SRC_DNSSD_RETRIES_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/dnssd/message.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::dnssd {

using AskId = std::uint64_t;

struct RetryOptions {
  std::size_t resolvers = 1;
  Micros first_wait = 250'000;     // for an answer over UDP; doubled for each further try of one question
  Micros stream_wait = 1'500'000;  // for a whole answer over TCP, connection included
  int most_tries = 3;              // of one question, over all resolvers
  Micros first_rest = 500'000;     // a resolver that failed is not asked first; doubled up to the longest
  Micros longest_rest = 5'000'000;
};

enum class Transport { kDatagram, kStream };
// One thing to put on the wire; its outcome comes back by the same `ask` and `attempt`.
struct Transmission {
  AskId ask = 0;
  int attempt = 0;
  std::size_t resolver = 0;
  Transport transport = Transport::kDatagram;
  Question question;
  std::uint32_t serial = 0;  // of an IXFR
  Micros give_up = 0;
};
enum class Trouble { kNone, kTimeout, kUnreachable, kServFail, kRefused, kSpoilt };
// How a question ended: an answer from that resolver, or the last trouble of all tries.
struct Settled {
  AskId ask = 0;
  std::size_t resolver = 0;
  Trouble trouble = Trouble::kNone;
  std::vector<Message> messages;  // more than one only for a transfer
};

struct RetryCounters {
  std::uint64_t sent = 0, streams = 0, timeouts = 0, unreachable = 0, refused = 0, spoilt = 0, switched = 0;
};

class Resolvers {
 public:
  explicit Resolvers(const RetryOptions& options);

  // With `at` only that resolver is asked, once over each transport: its word is wanted, nobody else's.
  void Ask(Micros now, AskId id, const Question& question, std::optional<std::size_t> at = std::nullopt,
           std::uint32_t serial = 0);
  void Drop(AskId id) { asks_.erase(id); }
  // The parts of one answer; a datagram has one. Late and unknown ones are passed over.
  void Answered(Micros now, AskId id, int attempt, std::vector<Message> messages);
  void Failed(Micros now, AskId id, int attempt, Trouble trouble);
  // It answers, but from what is known to be old: it is asked last for a while.
  void Distrust(Micros now, std::size_t resolver);
  // The first choice at this moment.
  std::size_t Preferred(Micros now) const;

  std::vector<Transmission> TakeTransmissions() { return std::exchange(transmissions_, {}); }
  std::vector<Settled> TakeSettled() { return std::exchange(settled_, {}); }
  const RetryCounters& counters() const { return counters_; }
  std::size_t open() const { return asks_.size(); }

 private:
  struct Asked {
    Question question;
    std::uint32_t serial = 0;
    std::optional<std::size_t> only;
    std::size_t resolver = 0;
    Transport transport = Transport::kDatagram;
    int attempt = 0;
  };
  struct Health {
    int failures = 0;
    Micros rest_until = 0;
  };
  void Transmit(Micros now, AskId id, Asked& asked);
  void Rest(Micros now, std::size_t resolver);

  RetryOptions options_;
  std::vector<Health> health_;
  std::size_t last_good_ = 0;
  std::map<AskId, Asked> asks_;  // leave when settled or dropped
  std::vector<Transmission> transmissions_;
  std::vector<Settled> settled_;
  RetryCounters counters_;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_RETRIES_HPP_
