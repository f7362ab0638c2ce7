#include "src/policy/retry_policy.hpp"

#include <algorithm>

namespace tulipyoke::policy {
namespace {

// Retries that are charged for, as a share of arrivals, and how many all routers together may send at once.
constexpr double kRetriesPerRequest = 0.2;
constexpr double kBurst = 20.0;
constexpr double kInitialBudget = 1;
// The charge after an error or a reset, which are no signs of overload.
constexpr double kFaultCost = 0.4;

bool NeverRan(Status status) {
  return status == Status::kOverloaded || status == Status::kConnectFailed || status == Status::kNotSent ||
         status == Status::kStaleOrWrongRole;
}

}  // namespace

RetryPolicy::RetryPolicy(const endpoints::RoutingContext& context)
    : context_(context), budget_(kInitialBudget, std::max(1.0, kBurst / context.settings.router_count)) {}

void RetryPolicy::Refill() { budget_.Refill(kRetriesPerRequest); }

bool RetryPolicy::MayAttempt(const Request& request, Micros now) const {
  const Settings& settings = context_.settings;
  if (settings.max_attempts > 0 && request.attempts >= settings.max_attempts) return false;
  if (!request.may_have_run) return true;
  const ClassSettings& c = context_.ClassOf(request.class_index);
  switch (c.idempotency) {
    case Idempotency::kIdempotent:
      return true;
    case Idempotency::kWithKey: {
      const Micros since_first = now + 2 * settings.clock_resolution - request.first_may_have_run;
      return request.first_may_have_run != endpoints::kNever && since_first < c.retry_window;
    }
    case Idempotency::kNone:
      break;
  }
  return false;
}

Micros RetryPolicy::LastUseful(const Request& request) const {
  const ClassSettings& c = context_.ClassOf(request.class_index);
  const auto usual = static_cast<Micros>(context_.latency.TypicalLatency(request.class_index));
  const Micros objective_end = std::min(request.deadline, request.arrived + c.latency_objective);
  const Micros end = c.late_weight > 0 ? request.deadline : objective_end;
  const Micros last = end - std::min(usual, (end - request.arrived) / 2);
  if (request.attempts > 0) return last;
  return std::min(last, (request.arrived + request.deadline) / 2 - context_.scales.housekeeping_interval);
}

void RetryPolicy::NoteFailure(Request& request, Status status, Micros sent) const {
  if (NeverRan(status)) return;
  if (!request.may_have_run) {
    const bool known = request.first_may_have_run != endpoints::kNever;
    request.first_may_have_run = known ? std::min(request.first_may_have_run, sent) : sent;
  }
  request.may_have_run = true;
}

// An attempt that is rejected costs its server too: without a budget, ten attempts each keep an overloaded
// fleet overloaded.
bool RetryPolicy::TakeRetry(Status status) {
  if (status == Status::kNotSent || status == Status::kStaleOrWrongRole) return true;
  const bool fault = status == Status::kError || status == Status::kReset;
  return budget_.TryConsume(fault ? kFaultCost : 1);
}

bool RetryPolicy::MayReject(const Request& request) const {
  const ClassSettings& c = context_.ClassOf(request.class_index);
  if (c.idempotency == Idempotency::kIdempotent) return true;
  if (!request.may_have_run && request.in_flight == 0) return true;
  return c.idempotency == Idempotency::kWithKey && c.retry_scope == RetryScope::kAll;
}

}  // namespace tulipyoke::policy
