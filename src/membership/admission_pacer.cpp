#include "src/membership/admission_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tulipyoke::membership {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Tokens are refilled in fractions, so rounding errors add up. A balance within this tolerance of one counts
// as a whole token.
constexpr double kTokenTolerance = 1e-6;

}  // namespace

void AdmissionPacer::Enqueue(const std::string& id, int group) { queues_by_group_[group].push_back(id); }

void AdmissionPacer::Remove(const std::string& id, int group) {
  const auto it = queues_by_group_.find(group);
  if (it == queues_by_group_.end()) return;
  std::erase(it->second, id);
  if (it->second.empty()) queues_by_group_.erase(it);
}

void AdmissionPacer::Refill(Micros now) {
  if (refilled_at_ && now > *refilled_at_) {
    const auto elapsed = static_cast<double>(now - *refilled_at_);
    tokens_ = std::min(options_.burst, tokens_ + options_.rate_per_second * elapsed / kMicrosPerSecond);
  }
  refilled_at_ = now;
}

std::optional<std::string> AdmissionPacer::AdmitNext(Micros now, const CountInService& in_service) {
  Refill(now);
  const auto fewest_in_service = std::min_element(
      queues_by_group_.begin(), queues_by_group_.end(),
      [&](const auto& a, const auto& b) { return in_service(a.first) < in_service(b.first); });
  if (fewest_in_service == queues_by_group_.end()) return std::nullopt;
  const bool below_minimum = in_service(fewest_in_service->first) < options_.min_in_service;
  if (!below_minimum && tokens_ < 1 - kTokenTolerance) return std::nullopt;
  tokens_ = std::max(0.0, tokens_ - 1);
  std::string id = std::move(fewest_in_service->second.front());
  fewest_in_service->second.pop_front();
  if (fewest_in_service->second.empty()) queues_by_group_.erase(fewest_in_service);
  return id;
}

std::optional<Micros> AdmissionPacer::NextDue() const {
  if (queues_by_group_.empty()) return std::nullopt;
  const double missing_tokens = std::max(0.0, 1 - tokens_);
  const double wait = std::ceil(missing_tokens / options_.rate_per_second * kMicrosPerSecond);
  return refilled_at_.value_or(0) + static_cast<Micros>(wait);
}

std::size_t AdmissionPacer::size() const {
  std::size_t total = 0;
  for (const auto& [group, queue] : queues_by_group_) total += queue.size();
  return total;
}

}  // namespace tulipyoke::membership
