// Limits the rate at which new servers are put into service. Every router probes and connects to a new server
// immediately, so many new servers at once would take capacity from the servers already in service. All
// groups share one token bucket; the group with the fewest servers in service is served first.
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
  double rate_per_second = 4;  // servers admitted per second once the burst is used up
  // A group with fewer servers in service than this admits new ones without waiting for a token.
  std::size_t min_in_service = 1;
};

// Queues the servers that wait for admission. Not thread-safe. Times are microseconds and must not decrease.
class AdmissionPacer {
 public:
  // Returns the number of servers in service in a group.
  using CountInService = std::function<std::size_t(int group)>;

  explicit AdmissionPacer(const AdmissionOptions& options) : options_(options), tokens_(options.burst) {}

  // Appends a server to its group's queue. The server must not already be queued.
  void Enqueue(const std::string& id, int group);
  // Removes a server from its group's queue; does nothing if the server is not queued.
  void Remove(const std::string& id, int group);
  // Removes the next server to admit from its queue and returns it. Returns nothing if no server is queued,
  // or if no token is left and no group is below `min_in_service`.
  std::optional<std::string> AdmitNext(Micros now, const CountInService& in_service);
  // Returns the time at which a token will be available for the next server; nothing if no server is queued.
  std::optional<Micros> NextDue() const;
  // Returns the number of queued servers in all groups.
  std::size_t size() const;

 private:
  void Refill(Micros now);

  AdmissionOptions options_;
  double tokens_;
  std::optional<Micros> refilled_at_;
  std::map<int, std::deque<std::string>> queues_by_group_;  // in order of arrival; empty queues are erased
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_ADMISSION_PACER_HPP_
