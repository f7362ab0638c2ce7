#include "src/membership/admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tulipyoke::membership {
namespace {

constexpr double kMicrosASecond = 1e6;

}  // namespace

void Admission::Wait(const std::string& id, int group) { queues_[group].push_back(id); }

void Admission::Leave(const std::string& id, int group) {
  const auto it = queues_.find(group);
  if (it == queues_.end()) return;
  std::erase(it->second, id);
  if (it->second.empty()) queues_.erase(it);
}

void Admission::Refill(Micros now) {
  if (refilled_ != 0 && now > refilled_) {
    const double grown = places_ + options_.per_s * static_cast<double>(now - refilled_) / kMicrosASecond;
    places_ = std::min(options_.burst, grown);
  }
  refilled_ = now;
}

std::optional<std::string> Admission::Next(Micros now, const std::function<std::size_t(int group)>& ready) {
  Refill(now);
  const auto least = std::min_element(queues_.begin(), queues_.end(), [&](const auto& a, const auto& b) {
    return ready(a.first) < ready(b.first);
  });
  if (least == queues_.end()) return std::nullopt;
  const bool needy = ready(least->first) < options_.needy;
  // A hair under one counts: places are refilled by fractions.
  if (!needy && places_ < 1 - 1e-6) return std::nullopt;
  places_ = std::max(0.0, places_ - 1);
  std::string id = std::move(least->second.front());
  least->second.pop_front();
  if (least->second.empty()) queues_.erase(least);
  return id;
}

std::optional<Micros> Admission::NextDue() const {
  if (queues_.empty()) return std::nullopt;
  const double missing = std::max(0.0, 1 - places_);
  return refilled_ + static_cast<Micros>(std::ceil(missing / options_.per_s * kMicrosASecond));
}

std::size_t Admission::waiting() const {
  std::size_t all = 0;
  for (const auto& [group, queue] : queues_) all += queue.size();
  return all;
}

}  // namespace tulipyoke::membership
