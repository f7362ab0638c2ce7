// Keeps a watch on discovery: one HTTP request whose answer stays open and holds one JSON object a line.
#ifndef TULIPYOKE_SRC_NET_DISCOVERY_HPP_
#define TULIPYOKE_SRC_NET_DISCOVERY_HPP_

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/event_loop/cancellable_timer.hpp"
#include "src/exchange/listing.hpp"
#include "src/limits/list_pace.hpp"

namespace tulipyoke::net {

// The body of a watch, as it comes in: its words out, whatever the cuts. A word is a whole value of JSON, be
// it indented over many lines, or empty: a line with nothing on it, outside of any value. No sockets.
class WatchParser {
 public:
  WatchParser();
  WatchParser(const WatchParser&) = delete;
  WatchParser& operator=(const WatchParser&) = delete;

  // Appends the words that these bytes end. False: this is no watch (any more).
  bool Feed(std::string_view bytes, std::vector<std::string>& words);
  // Its head has come whole: it has been answered.
  bool begun() const { return begun_; }

 private:
  static int OnBody(http_parser* parser, const char* at, std::size_t size);
  static int OnHeaders(http_parser* parser);
  static int OnEnd(http_parser* parser);

  void Take(char c);
  void EndValue();

  http_parser parser_;
  http_parser_settings callbacks_;
  std::string value_;  // as much as has come of the one under way
  int depth_ = 0;      // of its brackets; 0 with a value under way: it is none
  bool in_string_ = false, escaped_ = false, blank_line_ = true;
  std::vector<std::string>* words_ = nullptr;
  bool begun_ = false, ended_ = false;
};

struct DiscoveryCounters {
  std::uint64_t connects = 0, lost = 0, bad_lines = 0;
};

class DiscoveryWatch {
 public:
  using Sink = std::function<void(const Listing&)>;

  // Without an address there is none to watch.
  DiscoveryWatch(asio::io_context& io, Sink sink, const std::string& address, std::uint64_t version,
                 const limits::ListPace& pace);

  // Asks for the whole list anew.
  void Refresh();
  // Watches another address from now on, from its whole list. The old watch is kept up until the new one has
  // told something, so that nothing is missed between the two. Throws std::runtime_error.
  void Redirect(const std::string& address);
  void Stop();
  const DiscoveryCounters& counters() const { return counters_; }

 private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;

  void Connect();
  void Read(const SessionPtr& session);
  void Take(const SessionPtr& session, const std::string& word);
  void Lost(const SessionPtr& session, const std::string& why);
  void ArmSilence(const SessionPtr& session);
  bool Followed(const SessionPtr& session) const { return session == session_ || session == former_; }
  void Drop(SessionPtr& session);

  asio::io_context& io_;
  Sink sink_;
  asio::ip::tcp::endpoint endpoint_;
  std::string host_;
  std::uint64_t version_;
  DiscoveryCounters counters_;
  CancellableTimer silence_, retry_;
  SessionPtr session_;
  SessionPtr former_;  // the watch on the address before, until the new one has told something
  limits::ListPace pace_;
  bool stopped_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_DISCOVERY_HPP_
