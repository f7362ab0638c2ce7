// A large value on its way from a server to a client: the two sides meet here and nowhere else. What the
// client has not taken yet is bounded by not reading more from the server. No I/O.
#ifndef TULIPYOKE_SRC_DISPATCH_RESPONSE_STREAM_HPP_
#define TULIPYOKE_SRC_DISPATCH_RESPONSE_STREAM_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace tulipyoke {

class ResponseStream {
 public:
  enum class State { kOpen, kComplete, kAborted };

  // `row_description` is the protocol's own description of the value, which has `size` bytes.
  ResponseStream(std::string row_description, std::size_t size)
      : row_description_(std::move(row_description)), size_(size) {}

  const std::string& row_description() const { return row_description_; }
  std::size_t size() const { return size_; }
  const std::string& command_tag() const { return command_tag_; }
  State state() const { return state_; }

  // The server's side. False: no more for now, until `on_writable`.
  bool Write(std::string_view bytes) {
    buffer_ += bytes;
    if (on_update) on_update();
    return !full();
  }
  // All of the value has been given, and the answer ended as it should.
  void Complete(std::string command_tag) {
    command_tag_ = std::move(command_tag);
    End(State::kComplete);
  }
  void Abort() { End(State::kAborted); }
  bool full() const { return buffer_.size() >= kBufferLimit; }

  // The client's side: what there is.
  std::string Read() {
    std::string bytes = std::exchange(buffer_, {});
    if (bytes.size() >= kBufferLimit && on_writable) on_writable();
    return bytes;
  }
  bool empty() const { return buffer_.empty(); }

  std::function<void()> on_update = {}, on_writable = {};

 private:
  static constexpr std::size_t kBufferLimit = std::size_t{32} << 10;

  void End(State state) {
    if (state_ != State::kOpen) return;
    state_ = state;
    if (on_update) on_update();
  }

  std::string row_description_, command_tag_, buffer_;
  std::size_t size_;
  State state_ = State::kOpen;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_RESPONSE_STREAM_HPP_
