// Memory for large statements. The comment that decisions need is at the end of a statement, so that each
// must be complete in memory. All clients share one budget, from which the stated length is reserved before
// it is read.
#ifndef TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_
#define TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace tulipyoke::net {

class StatementBudget {
 public:
  // A reservation ends with its last copy: held by the connection, then by the request and its attempts.
  using Room = std::shared_ptr<const void>;

  explicit StatementBudget(std::size_t total) : state_(std::make_shared<State>(State{total, 0, {}})) {}
  ~StatementBudget() { state_->on_release = {}; }
  StatementBudget(const StatementBudget&) = delete;
  StatementBudget& operator=(const StatementBudget&) = delete;

  // Null: there is not enough now. A statement larger than the whole budget gets it when nothing else is
  // reserved, so that none waits for ever.
  Room Reserve(std::size_t size) {
    if (state_->held > 0 && state_->held + size > state_->total) return nullptr;
    state_->held += size;
    return Room(state_.get(), [state = state_, size](const void*) {
      state->held -= size;
      if (state->on_release) state->on_release();
    });
  }
  void Resize(std::size_t total) { state_->total = total; }
  void OnRelease(std::function<void()> call) { state_->on_release = std::move(call); }
  std::size_t held() const { return state_->held; }

 private:
  struct State {
    std::size_t total, held;
    std::function<void()> on_release;
  };
  std::shared_ptr<State> state_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_
