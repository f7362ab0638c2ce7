// A large value on its way from a server to a client: the two sides meet here and nowhere else. What the
// client has not taken yet is bounded by not reading more from the server. No I/O.
#ifndef TULIPYOKE_SRC_EXCHANGE_TRANSFER_HPP_
#define TULIPYOKE_SRC_EXCHANGE_TRANSFER_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace tulipyoke {

class Transfer {
 public:
  enum class State { kRunning, kWhole, kBroken };

  // `shape` is the protocol's own description of the value, which has `size` bytes.
  Transfer(std::string shape, std::size_t size) : shape_(std::move(shape)), size_(size) {}

  const std::string& shape() const { return shape_; }
  std::size_t size() const { return size_; }
  const std::string& tag() const { return tag_; }
  State state() const { return state_; }

  // The server's side. False: no more for now, until `on_room`.
  bool Give(std::string_view bytes) {
    waiting_ += bytes;
    if (on_change) on_change();
    return !full();
  }
  // All of the value has been given, and the answer ended as it should.
  void Complete(std::string tag) {
    tag_ = std::move(tag);
    End(State::kWhole);
  }
  void Break() { End(State::kBroken); }
  bool full() const { return waiting_.size() >= kMostWaiting; }

  // The client's side: what there is.
  std::string Take() {
    std::string bytes = std::exchange(waiting_, {});
    if (bytes.size() >= kMostWaiting && on_room) on_room();
    return bytes;
  }
  bool empty() const { return waiting_.empty(); }

  std::function<void()> on_change = {}, on_room = {};

 private:
  static constexpr std::size_t kMostWaiting = std::size_t{32} << 10;

  void End(State state) {
    if (state_ != State::kRunning) return;
    state_ = state;
    if (on_change) on_change();
  }

  std::string shape_, tag_, waiting_;
  std::size_t size_;
  State state_ = State::kRunning;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_EXCHANGE_TRANSFER_HPP_
