#include "src/membership/wakeup_schedule.hpp"

namespace tulipyoke::membership {

void WakeupSchedule::Set(const std::string& id, std::optional<Micros> time) {
  const auto it = time_by_id_.find(id);
  if (it != time_by_id_.end()) {
    if (it->second == time) return;
    by_time_.erase({it->second, id});
    time_by_id_.erase(it);
  }
  if (!time) return;
  time_by_id_.emplace(id, *time);
  by_time_.emplace(*time, id);
}

std::optional<Micros> WakeupSchedule::TimeOf(const std::string& id) const {
  const auto it = time_by_id_.find(id);
  if (it == time_by_id_.end()) return std::nullopt;
  return it->second;
}

std::optional<std::string> WakeupSchedule::PopDue(Micros now) {
  if (by_time_.empty() || by_time_.begin()->first > now) return std::nullopt;
  std::string id = by_time_.begin()->second;
  by_time_.erase(by_time_.begin());
  time_by_id_.erase(id);
  return id;
}

std::optional<Micros> WakeupSchedule::NextDue() const {
  if (by_time_.empty()) return std::nullopt;
  return by_time_.begin()->first;
}

}  // namespace tulipyoke::membership
