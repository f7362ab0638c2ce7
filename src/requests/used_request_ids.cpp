#include "src/requests/used_request_ids.hpp"

#include <algorithm>

namespace tulipyoke::requests {
namespace {

// A client that was cut off may come back later than the time of its request.
constexpr Micros kMinRetention = 10'000'000;

}  // namespace

void UsedRequestIds::Add(RequestIdKey key, Micros now) {
  const Micros expiry = now + retention_;
  expiry_by_key_[key] = expiry;
  additions_.push_back({key, expiry});
  while (!additions_.empty() && (additions_.front().expiry <= now || additions_.size() > limit_)) {
    ForgetOldest();
  }
}

void UsedRequestIds::ForgetOldest() {
  const Addition oldest = additions_.front();
  additions_.pop_front();
  const auto found = expiry_by_key_.find(oldest.key);
  const bool outdated = found == expiry_by_key_.end() || found->second != oldest.expiry;
  if (!outdated) expiry_by_key_.erase(found);
}

bool UsedRequestIds::Contains(RequestIdKey key, Micros now) const {
  const auto found = expiry_by_key_.find(key);
  return found != expiry_by_key_.end() && now < found->second;
}

std::vector<RequestIdKey> UsedRequestIds::Keys(Micros now) const {
  std::vector<RequestIdKey> keys;
  for (const auto& [key, expiry] : expiry_by_key_) {
    if (now < expiry) keys.push_back(key);
  }
  return keys;
}

Micros RetentionFor(const std::vector<ClassSettings>& classes) {
  Micros longest = kMinRetention;
  for (const ClassSettings& c : classes) longest = std::max({longest, c.deadline, c.retry_window});
  return longest;
}

}  // namespace tulipyoke::requests
