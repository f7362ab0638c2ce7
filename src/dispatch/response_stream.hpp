// Forwards a large result from a server to a client with backpressure: the upstream connection stops reading
// from its socket while the buffer is full. Does no I/O; both sides run in the same thread.
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

  // `row_description` is encoded in the server's protocol. `size` is the size of the value in bytes.
  ResponseStream(std::string row_description, std::size_t size)
      : row_description_(std::move(row_description)), size_(size) {}

  const std::string& row_description() const { return row_description_; }
  std::size_t size() const { return size_; }
  // Empty until the stream is complete.
  const std::string& command_tag() const { return command_tag_; }
  State state() const { return state_; }

  // Server side: appends bytes to the buffer. Returns false if the writer must pause until `on_writable`.
  bool Write(std::string_view bytes) {
    buffer_ += bytes;
    if (on_update) on_update();
    return !full();
  }
  // Server side: ends the stream after the whole value was written and the response ended without an error.
  void Complete(std::string command_tag) {
    command_tag_ = std::move(command_tag);
    Finish(State::kComplete);
  }
  // Server side: ends the stream early. The rest of the value is lost.
  void Abort() { Finish(State::kAborted); }
  bool full() const { return buffer_.size() >= kBufferLimit; }

  // Client side: removes and returns all buffered bytes.
  std::string Read() {
    std::string bytes = std::exchange(buffer_, {});
    if (bytes.size() >= kBufferLimit && on_writable) on_writable();
    return bytes;
  }
  bool empty() const { return buffer_.empty(); }

  std::function<void()> on_update = {};    // for the client side: bytes were written, or the state changed
  std::function<void()> on_writable = {};  // for the server side: the buffer is no longer full

 private:
  static constexpr std::size_t kBufferLimit = std::size_t{32} << 10;  // bytes

  void Finish(State state) {
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
