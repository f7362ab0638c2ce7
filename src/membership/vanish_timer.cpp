#include "src/membership/vanish_timer.hpp"

namespace tulipyoke::membership {

void VanishTimer::Update(bool vanished, Micros now) {
  if (!vanished) {
    vanished_at_.reset();
  } else if (!vanished_at_) {
    vanished_at_ = now;
  }
}

bool VanishTimer::IsListed(const VanishOptions& options, Micros now) const {
  return !vanished_at_ || now < *vanished_at_ + options.removal_delay;
}

bool VanishTimer::IsExpired(const VanishOptions& options, Micros now) const {
  return vanished_at_ && now >= *vanished_at_ + options.removal_delay + options.retention;
}

std::optional<Micros> VanishTimer::NextChange(const VanishOptions& options, Micros now) const {
  if (!vanished_at_) return std::nullopt;
  const Micros removal = *vanished_at_ + options.removal_delay;
  return IsListed(options, now) ? removal : removal + options.retention;
}

}  // namespace tulipyoke::membership
