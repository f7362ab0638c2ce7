#include "src/membership/admission_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tulipyoke::membership {
namespace {

constexpr double kMicrosASecond = 1e6;

}  // namespace

void AdmissionPacer::Enqueue(const std::string& id, int group) { queues_by_group_[group].push_back(id); }

void AdmissionPacer::Remove(const std::string& id, int group) {
  const auto it = queues_by_group_.find(group);
  if (it == queues_by_group_.end()) return;
  std::erase(it->second, id);
  if (it->second.empty()) queues_by_group_.erase(it);
}

void AdmissionPacer::Refill(Micros now) {
  if (refilled_at_ != 0 && now > refilled_at_) {
    const double grown =
        tokens_ + options_.rate_per_second * static_cast<double>(now - refilled_at_) / kMicrosASecond;
    tokens_ = std::min(options_.burst, grown);
  }
  refilled_at_ = now;
}

std::optional<std::string> AdmissionPacer::AdmitNext(Micros now,
                                                     const std::function<std::size_t(int group)>& ready) {
  Refill(now);
  const auto least =
      std::min_element(queues_by_group_.begin(), queues_by_group_.end(),
                       [&](const auto& a, const auto& b) { return ready(a.first) < ready(b.first); });
  if (least == queues_by_group_.end()) return std::nullopt;
  const bool below_minimum = ready(least->first) < options_.min_in_service;
  // A hair under one counts: places are refilled by fractions.
  if (!below_minimum && tokens_ < 1 - 1e-6) return std::nullopt;
  tokens_ = std::max(0.0, tokens_ - 1);
  std::string id = std::move(least->second.front());
  least->second.pop_front();
  if (least->second.empty()) queues_by_group_.erase(least);
  return id;
}

std::optional<Micros> AdmissionPacer::NextDue() const {
  if (queues_by_group_.empty()) return std::nullopt;
  const double missing = std::max(0.0, 1 - tokens_);
  return refilled_at_ + static_cast<Micros>(std::ceil(missing / options_.rate_per_second * kMicrosASecond));
}

std::size_t AdmissionPacer::size() const {
  std::size_t all = 0;
  for (const auto& [group, queue] : queues_by_group_) all += queue.size();
  return all;
}

}  // namespace tulipyoke::membership
