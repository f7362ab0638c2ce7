// Limits the rate at which new servers are put into service. Every router probes and connects to a new server
// at once, so that many of them at the same time would take capacity from the servers that are in service. A
// token bucket is shared by all groups; the group with the fewest servers in service goes first.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct AdmissionOptions {
  double burst = 8;            // servers admitted at once after an idle period
  double rate_per_second = 4;  // servers admitted per second from then on
  // A group with fewer servers in service than this admits new ones without waiting.
  std::size_t min_in_service = 1;
};

// Queues of servers that wait for admission. Not thread-safe; times are microseconds and must not decrease.
class AdmissionPacer {
 public:
  // Gives the number of servers in service of a group.
  using CountInService = std::function<std::size_t(int group)>;

  explicit AdmissionPacer(const AdmissionOptions& options) : options_(options), tokens_(options.burst) {}

  // Appends a server to its group's queue. A server must not be queued twice.
  void Enqueue(const std::string& id, int group);
  // Takes a server out of its group's queue; no effect if it is not there.
  void Remove(const std::string& id, int group);
  // Takes the next server to be admitted out of its queue; none while the tokens are used up or nobody waits.
  std::optional<std::string> AdmitNext(Micros now, const CountInService& in_service);
  // When AdmitNext should be called again; none while nobody waits.
  std::optional<Micros> NextDue() const;
  // The number of servers that wait, over all groups.
  std::size_t size() const;

 private:
  void Refill(Micros now);

  AdmissionOptions options_;
  double tokens_;
  std::optional<Micros> refilled_at_;
  std::map<int, std::deque<std::string>> queues_by_group_;  // in order of arrival; empty ones are removed
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_
