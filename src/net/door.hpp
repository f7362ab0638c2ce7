// The operators' door: HTTP/1.1, one call per connection, beside the clients' traffic and apart from it.
#ifndef TULIPYOKE_SRC_NET_DOOR_HPP_
#define TULIPYOKE_SRC_NET_DOOR_HPP_

#include <http_parser.h>

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace tulipyoke::net {

// One call, read as its bytes come in. No sockets.
class CallParser {
 public:
  enum class Progress { kMore, kWhole, kBad };

  CallParser();
  CallParser(const CallParser&) = delete;
  CallParser& operator=(const CallParser&) = delete;

  Progress Feed(std::string_view bytes);
  std::string method() const { return http_method_str(static_cast<http_method>(parser_.method)); }
  // Without what may follow a question mark; empty where it is no path.
  std::string Path() const;

 private:
  static int OnUrl(http_parser* parser, const char* at, std::size_t size);
  static int OnEnd(http_parser* parser);

  http_parser parser_;
  http_parser_settings callbacks_;
  std::string url_;
  std::size_t taken_ = 0;
  bool whole_ = false;
};

struct Reply {
  int status = 200;
  std::string body = {};
  std::string allow = {};  // with 405: the method that is
};
std::string ToHttp(const Reply& reply);

struct DoorCounters {
  std::uint64_t calls = 0, bad = 0, silent = 0;
};

class OperatorDoor {
 public:
  using Answer = std::function<Reply(const std::string& method, const std::string& path)>;

  // Throws std::runtime_error where the address cannot be listened on.
  OperatorDoor(asio::io_context& io, const asio::ip::tcp::endpoint& listen, Answer answer);
  ~OperatorDoor();

  void Stop();
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const DoorCounters& counters() const { return counters_; }

 private:
  struct Caller;
  using CallerPtr = std::shared_ptr<Caller>;

  void Accept();
  void Read(const CallerPtr& caller);
  void OnBytes(const CallerPtr& caller, std::size_t size);
  void Say(const CallerPtr& caller, const Reply& reply);
  void Close(const CallerPtr& caller);

  asio::io_context& io_;
  Answer answer_;
  DoorCounters counters_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::list<CallerPtr> callers_;  // whoever came first stands first
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_DOOR_HPP_
