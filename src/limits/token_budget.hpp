// A token bucket without a clock: it is refilled in small amounts by events and spent in units.
#ifndef TULIPYOKE_SRC_LIMITS_TOKEN_BUDGET_HPP_
#define TULIPYOKE_SRC_LIMITS_TOKEN_BUDGET_HPP_

#include <algorithm>

namespace tulipyoke::limits {

class TokenBudget {
 public:
  TokenBudget(double initial, double capacity) : tokens_(initial), capacity_(capacity) {}

  void Refill(double amount) { tokens_ = std::min(capacity_, tokens_ + amount); }
  // Spends `cost`, or returns false and spends nothing if less than that is left.
  bool TryConsume(double cost) {
    if (tokens_ < cost) return false;
    tokens_ -= cost;
    return true;
  }

 private:
  double tokens_;
  double capacity_;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_TOKEN_BUDGET_HPP_
