// A budget that is refilled in small amounts and spent in units (token bucket without a clock).
#ifndef TULIPYOKE_SRC_LIMITS_TOKEN_BUDGET_HPP_
#define TULIPYOKE_SRC_LIMITS_TOKEN_BUDGET_HPP_

#include <algorithm>

namespace tulipyoke::limits {

class TokenBudget {
 public:
  TokenBudget(double initial, double capacity) : tokens_(initial), capacity_(capacity) {}

  void Refill(double amount) { tokens_ = std::min(capacity_, tokens_ + amount); }
  // Spends `cost`; false, and nothing is spent, where that much is not left.
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
