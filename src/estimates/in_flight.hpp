// The attempts of this router that are in flight at one server.
#ifndef TULIPYOKE_SRC_ESTIMATES_IN_FLIGHT_HPP_
#define TULIPYOKE_SRC_ESTIMATES_IN_FLIGHT_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Kept until the outcome of the attempt is known, even if its request has ended before.
struct InFlightAttempt {
  RequestId id = 0;
  int attempt = 0;
  int class_index = 0;
  std::uint64_t key = 0;
  Micros sent = 0;
  bool cancelled = false;
  bool freshness_check = false;  // relies on a predicted position: the server may reject it
};

class InFlightAttempts {
 public:
  void Add(const InFlightAttempt& attempt) { attempts_.push_back(attempt); }
  // Removes the attempt and returns it, or returns nullopt if it is not in flight here.
  std::optional<InFlightAttempt> Remove(RequestId id, int attempt) {
    const auto same = [&](const InFlightAttempt& a) { return a.id == id && a.attempt == attempt; };
    const auto found = std::find_if(attempts_.begin(), attempts_.end(), same);
    if (found == attempts_.end()) return std::nullopt;
    const InFlightAttempt taken = *found;
    attempts_.erase(found);
    return taken;
  }
  bool HasFreshnessCheck() const {
    return std::any_of(begin(), end(), [](const InFlightAttempt& a) { return a.freshness_check; });
  }
  // Returns whether an attempt that was sent at `since` or later has not been cancelled.
  bool HasActiveSentSince(Micros since) const {
    return std::any_of(begin(), end(),
                       [&](const InFlightAttempt& a) { return a.sent >= since && !a.cancelled; });
  }

  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }
  std::vector<InFlightAttempt>::iterator begin() { return attempts_.begin(); }
  std::vector<InFlightAttempt>::iterator end() { return attempts_.end(); }
  std::vector<InFlightAttempt>::const_iterator begin() const { return attempts_.begin(); }
  std::vector<InFlightAttempt>::const_iterator end() const { return attempts_.end(); }

 private:
  std::vector<InFlightAttempt> attempts_;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_IN_FLIGHT_HPP_
