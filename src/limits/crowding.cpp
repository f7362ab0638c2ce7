#include "src/limits/crowding.hpp"

#include <algorithm>
#include <cmath>

namespace tulipyoke::limits {
namespace {

// At these one late answer in four is no sign of too many; never below the least, so that it is found out
// when there is room again: a router of hundreds has few reads in a group, and of one in ten it would hear
// too late.
constexpr double kStep = 0.035;
constexpr double kCut = 0.9;
constexpr double kLeast = 0.3;
// Hundreds of routers see little each, and what one saw a while ago says less than what it sees now.
constexpr double kMostWeight = 3.0;
// The share of spare room grows by the step with each quick answer and falls to the cut of itself with each
// slow one; in large steps, since one router of hundreds sees few answers there, and balanced so that one
// slow answer in six is no sign.
constexpr double kSpareStep = 0.1;
constexpr double kSpareCut = 0.5;
// Of the requests of a class so many in a hundred are taken to be further tries, at most.
constexpr std::size_t kFurther = 75;

// What is left of something heard at that time; nothing has confirmed it since.
double Faded(Micros now, Micros heard, Micros span) {
  return std::exp(-static_cast<double>(now - heard) / static_cast<double>(std::max<Micros>(span, 1)));
}

}  // namespace

bool FirstTries::IsLate(Micros remaining, Micros aim) {
  seen_[count_++ % seen_.size()] = remaining;
  std::array<Micros, 16> sorted = seen_;
  const std::size_t known = std::min(count_, seen_.size());
  const auto first = sorted.begin() + static_cast<std::ptrdiff_t>((known - 1) * kFurther / 100);
  std::nth_element(sorted.begin(), first, sorted.begin() + static_cast<std::ptrdiff_t>(known));
  return remaining + aim / 2 < *first;
}

double Crowding::Admitted(Micros now, Micros span) const {
  return 1 - (1 - admit_) * Faded(now, heard_, span);
}

void Crowding::Answered(Micros now, Micros span, Micros gap, bool in_time) {
  const double silence = static_cast<double>(now - heard_) / static_cast<double>(std::max<Micros>(gap, 1));
  const double weight = std::clamp(silence, 1.0, kMostWeight);
  const double admitted = Admitted(now, span);
  admit_ = in_time ? std::min(1.0, admitted + weight * kStep)
                   : std::max(kLeast, admitted * std::pow(kCut, weight));
  heard_ = now;
}

bool Crowding::TurnsAway(Micros now, Micros span, double earns, double chance) {
  earns_[count_++ % earns_.size()] = earns;
  const std::size_t known = std::min(count_, earns_.size());
  double before = 0;  // of the newest reads, those that go before this one
  for (std::size_t i = 0; i < known; ++i) {
    if (earns_[i] > earns) before += 1;
    if (earns_[i] == earns) before += chance;
  }
  return before / static_cast<double>(known) >= Admitted(now, span);
}

double SpareRoom::Share(Micros now, Micros span, int gateways) const {
  const double first = kSpareCut / std::max(gateways, 1);
  return first + (share_ - first) * Faded(now, heard_, span);
}

void SpareRoom::Answered(Micros now, Micros span, int gateways, bool quick, bool slow) {
  share_ = Share(now, span, gateways);
  heard_ = now;
  if (quick) share_ = std::min(1.0, share_ + kSpareStep);
  if (slow) share_ *= kSpareCut;
}

}  // namespace tulipyoke::limits
