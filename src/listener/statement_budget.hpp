// Room for large statements: they end with what the decisions need, so that each has to be held whole. One
// sum for all clients, from which the stated length is set aside before the rest is read.
#ifndef TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_
#define TULIPYOKE_SRC_LISTENER_STATEMENT_BUDGET_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace tulipyoke::net {

class StatementBudget {
 public:
  // Held for as long as any copy of it lives: by the reading client, then by the request and its attempts.
  using Room = std::shared_ptr<const void>;

  explicit StatementBudget(std::size_t total) : state_(std::make_shared<State>(State{total, 0, {}})) {}
  ~StatementBudget() { state_->on_release = {}; }
  StatementBudget(const StatementBudget&) = delete;
  StatementBudget& operator=(const StatementBudget&) = delete;

  // Null: there is no room now. What is larger than all there is gets it when nothing else is held, so that
  // nobody waits for ever.
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
