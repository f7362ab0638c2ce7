// The loop that the stand-ins of one test, lab or demo live in: a thread, a clock all their records share,
// and scripts of timed steps.
#ifndef TULIPYOKE_STANDINS_LOOP_HPP_
#define TULIPYOKE_STANDINS_LOOP_HPP_

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>

#include "tulipyoke/router.hpp"

namespace tulipyoke::standins {

class Loop {
 public:
  Loop() : thread_([this] { io_.run(); }) {}
  ~Loop() { Stop(); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Nothing runs in it any more afterwards; before the stand-ins are destroyed.
  void Stop() {
    work_.reset();
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }
  asio::io_context& io() { return io_; }
  // Microseconds on the monotonic clock, the same for all loops of this machine.
  static Micros Now() {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
  }
  // Runs `work` in the loop and gives what it returns.
  template <typename Work>
  auto Do(Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto result = task.get_future();
    asio::post(io_, [&task] { task(); });
    return result.get();
  }

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
  std::thread thread_;
};

// Steps as JSON: [{"at_ms": 500, "do": "withdraw", ...}, ...]; what a word does is the stand-ins' matter.
class Script {
 public:
  using Action = std::function<void(const nlohmann::json& step)>;

  explicit Script(Loop& loop) : loop_(loop) {}
  void On(const std::string& word, Action action) { actions_[word] = std::move(action); }
  // Throws std::runtime_error for a word that nobody takes, before anything has run.
  void Play(const nlohmann::json& steps) {
    for (const auto& step : steps) {
      const std::string word = step.at("do");
      if (!actions_.contains(word)) throw std::runtime_error("no step is called '" + word + "'");
    }
    for (const auto& step : steps) {
      auto timer = std::make_shared<asio::steady_timer>(loop_.io());
      timer->expires_after(std::chrono::milliseconds(step.at("at_ms").get<int>()));
      timer->async_wait([action = actions_.at(step.at("do")), step, timer](std::error_code error) {
        if (!error) action(step);
      });
    }
  }

 private:
  Loop& loop_;
  std::map<std::string, Action> actions_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_LOOP_HPP_
