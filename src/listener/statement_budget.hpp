// Memory budget for large statements. Routing depends on a comment at the end of the statement, so the whole
// statement must be in memory. All clients share one budget, from which the length given in the message
// header is reserved before the statement is read.
#ifndef TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_
#define TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace tulipyoke::net {

class StatementBudget {
 public:
  // The memory is released with the last copy of the reservation. The connection holds it first, then the
  // request and its attempts.
  using Reservation = std::shared_ptr<const void>;

  explicit StatementBudget(std::size_t total) : state_(std::make_shared<State>(State{total, 0, {}})) {}
  ~StatementBudget() { state_->on_release = {}; }
  StatementBudget(const StatementBudget&) = delete;
  StatementBudget& operator=(const StatementBudget&) = delete;

  // Returns null if the budget does not suffice now. A statement larger than the whole budget gets a
  // reservation when nothing else is reserved, so that it does not wait forever.
  Reservation Reserve(std::size_t size) {
    if (state_->reserved > 0 && state_->reserved + size > state_->total) return nullptr;
    state_->reserved += size;
    return Reservation(state_.get(), [state = state_, size](const void*) {
      state->reserved -= size;
      if (state->on_release) state->on_release();
    });
  }
  // Changes the budget; existing reservations stay.
  void Resize(std::size_t total) { state_->total = total; }
  void OnRelease(std::function<void()> callback) { state_->on_release = std::move(callback); }
  std::size_t reserved() const { return state_->reserved; }

 private:
  struct State {
    std::size_t total, reserved;
    std::function<void()> on_release;
  };
  std::shared_ptr<State> state_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_
