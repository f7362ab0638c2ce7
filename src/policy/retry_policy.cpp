#include "src/policy/retry_policy.hpp"

#include <algorithm>

namespace tulipyoke::policy {
namespace {

// The retry budget: the retries that each request adds, and the burst that all routers together may send.
constexpr double kRetriesPerRequest = 0.2;
constexpr double kMaxRetryBurst = 20.0;
constexpr double kInitialBudget = 1;
// The cost of a retry after an error or a reset. It is lower than 1 because these are no signs of overload.
constexpr double kErrorRetryCost = 0.4;

bool WasNotExecuted(Status status) {
  return status == Status::kOverloaded || status == Status::kConnectFailed || status == Status::kNotSent ||
         status == Status::kStaleOrWrongRole;
}

}  // namespace

RetryPolicy::RetryPolicy(const endpoints::RoutingContext& context)
    : context_(context),
      budget_(kInitialBudget, std::max(1.0, kMaxRetryBurst / context.settings.router_count)) {}

void RetryPolicy::Refill() { budget_.Refill(kRetriesPerRequest); }

bool RetryPolicy::MayAttempt(const Request& request, Micros now) const {
  const Settings& settings = context_.settings;
  if (settings.max_attempts > 0 && request.attempts >= settings.max_attempts) return false;
  if (!request.may_have_executed) return true;
  const ClassSettings& c = context_.ClassOf(request.class_index);
  switch (c.idempotency) {
    case Idempotency::kIdempotent:
      return true;
    case Idempotency::kWithKey: {
      const Micros since_first = now + 2 * settings.clock_resolution - request.first_possible_execution;
      return request.first_possible_execution != endpoints::kNever && since_first < c.retry_window;
    }
    case Idempotency::kNone:
      break;
  }
  return false;
}

Micros RetryPolicy::LatestSendTime(const Request& request) const {
  const ClassSettings& c = context_.ClassOf(request.class_index);
  const auto usual = static_cast<Micros>(context_.latency.TypicalLatency(request.class_index));
  const Micros objective_end = std::min(request.deadline, request.arrived + c.latency_objective);
  const Micros end = c.late_weight > 0 ? request.deadline : objective_end;
  const Micros latest = end - std::min(usual, (end - request.arrived) / 2);
  if (request.attempts > 0) return latest;
  return std::min(latest, (request.arrived + request.deadline) / 2 - context_.scales.housekeeping_interval);
}

void RetryPolicy::RecordFailure(Request& request, Status status, Micros sent) const {
  if (WasNotExecuted(status)) return;
  if (!request.may_have_executed) {
    const bool already_recorded = request.first_possible_execution != endpoints::kNever;
    request.first_possible_execution =
        already_recorded ? std::min(request.first_possible_execution, sent) : sent;
  }
  request.may_have_executed = true;
}

// A rejected attempt costs its server capacity as well. Without a budget, ten attempts per request keep
// overloaded servers overloaded.
bool RetryPolicy::TryTakeRetry(Status status) {
  if (status == Status::kNotSent || status == Status::kStaleOrWrongRole) return true;
  const bool fault = status == Status::kError || status == Status::kReset;
  return budget_.TryConsume(fault ? kErrorRetryCost : 1);
}

bool RetryPolicy::MayReject(const Request& request) const {
  const ClassSettings& c = context_.ClassOf(request.class_index);
  if (c.idempotency == Idempotency::kIdempotent) return true;
  if (!request.may_have_executed && request.in_flight == 0) return true;
  return c.idempotency == Idempotency::kWithKey && c.retry_scope == RetryScope::kAll;
}

}  // namespace tulipyoke::policy
