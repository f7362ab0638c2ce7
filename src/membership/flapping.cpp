#include "src/membership/flapping.hpp"

#include <algorithm>
#include <cmath>

namespace tulipyoke::membership {

double PenaltyAt(const FlapOptions& options, const FlapRecord& record, Micros now) {
  const auto half_lives =
      static_cast<double>(std::max<Micros>(0, now - record.counted)) / static_cast<double>(options.half_life);
  return record.penalty * std::exp2(-half_lives);
}

bool Vanished(const FlapOptions& options, FlapRecord& record, Micros now) {
  record.penalty = std::min(options.most, PenaltyAt(options, record, now) + 1);
  record.counted = now;
  const bool newly = !record.held && record.penalty > options.hold_over;
  record.held = record.held || newly;
  return newly;
}

Micros FreeAt(const FlapOptions& options, const FlapRecord& record) {
  if (!record.held || record.penalty <= options.free_under) return record.counted;
  const double half_lives = std::log2(record.penalty / options.free_under);
  return record.counted + static_cast<Micros>(std::ceil(half_lives * static_cast<double>(options.half_life)));
}

void Review(const FlapOptions& options, FlapRecord& record, Micros now) {
  if (record.held && now >= FreeAt(options, record)) record.held = false;
}

}  // namespace tulipyoke::membership
