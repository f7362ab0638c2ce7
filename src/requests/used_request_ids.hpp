// Remembers the ids of requests that must not run twice, so that an id which comes again is not forwarded
// again: its client may have left before it got the response, or have come to another process of the router.
#ifndef TULIPYOKE_SRC_REQUESTS_USED_REQUEST_IDS_HPP_
#define TULIPYOKE_SRC_REQUESTS_USED_REQUEST_IDS_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::requests {

// Identifies the id of a request; a hash of its text that is the same in all processes of the router.
using RequestIdKey = std::uint64_t;

// Times are in microseconds of one clock. Memory is bounded: beyond the limit the oldest id is forgotten.
class UsedRequestIds {
 public:
  static constexpr std::size_t kDefaultLimit = 65'536;

  // An id is remembered for `retention` after it was last added.
  explicit UsedRequestIds(Micros retention, std::size_t limit = kDefaultLimit)
      : retention_(retention), limit_(limit) {}

  void Add(RequestIdKey key, Micros now);
  // For a request that certainly has not run and never will.
  void Remove(RequestIdKey key) { expiry_by_key_.erase(key); }
  bool Contains(RequestIdKey key, Micros now) const;
  std::vector<RequestIdKey> Keys(Micros now) const;
  std::size_t size() const { return expiry_by_key_.size(); }

 private:
  struct Addition {
    RequestIdKey key = 0;
    Micros expiry = 0;
  };
  void ForgetOldest();

  const Micros retention_;
  const std::size_t limit_;
  std::unordered_map<RequestIdKey, Micros> expiry_by_key_;
  std::deque<Addition> additions_;  // oldest first; an id that was added again or removed has outdated ones
};

// The longest time for which a client may wait for a request of these classes or repeat it, and some seconds
// at least.
Micros RetentionFor(const std::vector<ClassSettings>& classes);

}  // namespace tulipyoke::requests

#endif  // TULIPYOKE_SRC_REQUESTS_USED_REQUEST_IDS_HPP_
