#include "src/net/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>
#include <vector>

#include "src/config/listing_json.hpp"
#include "src/log/log.hpp"
#include "src/net/address.hpp"

namespace tulipyoke::net {
namespace {

// An empty line comes every 2 s; after two of them are missing the watch is taken for dead.
constexpr auto kSilence = std::chrono::milliseconds(5000);
// The agent runs on this machine: a connection that is not up by then never comes up.
constexpr auto kConnectWait = std::chrono::milliseconds(1000);
constexpr std::size_t kLongestLine = std::size_t{4} << 20;
constexpr std::size_t kReadSize = 16384;

}  // namespace

WatchParser::WatchParser() : parser_{}, callbacks_{} {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  http_parser_settings_init(&callbacks_);
  callbacks_.on_body = &OnBody;
  callbacks_.on_headers_complete = &OnHeaders;
  callbacks_.on_message_complete = &OnEnd;
}

int WatchParser::OnHeaders(http_parser* parser) { return parser->status_code == 200 ? 0 : -1; }

int WatchParser::OnEnd(http_parser* parser) {
  static_cast<WatchParser*>(parser->data)->ended_ = true;
  return 0;
}

int WatchParser::OnBody(http_parser* parser, const char* at, std::size_t size) {
  auto& self = *static_cast<WatchParser*>(parser->data);
  std::string_view rest(at, size);
  for (std::size_t end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
    self.line_ += rest.substr(0, end);
    rest.remove_prefix(end + 1);
    self.lines_->push_back(std::exchange(self.line_, {}));
  }
  self.line_ += rest;
  return self.line_.size() > kLongestLine ? -1 : 0;
}

bool WatchParser::Feed(std::string_view bytes, std::vector<std::string>& lines) {
  lines_ = &lines;
  const std::size_t taken = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  lines_ = nullptr;
  return taken == bytes.size() && HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !ended_;
}

struct DiscoveryWatch::Session {
  explicit Session(asio::io_context& io) : socket(io) {}

  asio::ip::tcp::socket socket;
  WatchParser parser;
  std::string request;
  std::array<char, kReadSize> in{};
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, Sink sink, const std::string& address,
                               std::uint64_t version, const limits::ListPace& pace)
    : io_(io),
      sink_(std::move(sink)),
      endpoint_(address.empty() ? asio::ip::tcp::endpoint() : ToEndpoint(address)),
      host_(address),
      version_(version),
      silence_(io),
      retry_(io),
      pace_(pace),
      stopped_(address.empty()) {
  if (!stopped_) Connect();
}

void DiscoveryWatch::Connect() {
  ++counters_.connects;
  const auto session = std::make_shared<Session>(io_);
  session_ = session;
  silence_.expires_after(kConnectWait);
  silence_.async_wait([this, session](std::error_code error) {
    if (!error) Lost(session, "no connection in time");
  });
  session->socket.async_connect(endpoint_, [this, session](std::error_code error) {
    if (session != session_) return;
    if (error) return Lost(session, error.message());
    ArmSilence(session);
    session->request = "GET /registry/instances?follow=1&since=" + std::to_string(version_) +
                       " HTTP/1.1\r\nHost: " + host_ + "\r\nAccept: application/json\r\n\r\n";
    asio::async_write(session->socket, asio::buffer(session->request),
                      [this, session](std::error_code failed, std::size_t) {
                        if (failed && session == session_) Lost(session, failed.message());
                      });
    Read(session);
  });
}

void DiscoveryWatch::Read(const SessionPtr& session) {
  session->socket.async_read_some(
      asio::buffer(session->in), [this, session](std::error_code error, std::size_t size) {
        if (!Followed(session)) return;
        if (error) return Lost(session, error.message());
        ArmSilence(session);
        std::vector<std::string> lines;
        const bool goes_on = session->parser.Feed(std::string_view(session->in.data(), size), lines);
        for (const std::string& line : lines) Take(session, line);
        if (!goes_on) return Lost(session, "the answer ended or was no watch");
        Read(session);
      });
}

void DiscoveryWatch::Take(const SessionPtr& session, const std::string& line) {
  const bool current = session == session_;
  if (current) pace_.Heard();
  if (line.find_first_not_of(" \t\r") == std::string::npos) return;
  try {
    const Listing listing = ParseListing(line);
    // Versions of two addresses are not comparable: what the former one tells must not be asked of this one.
    if (current) version_ = listing.version;
    if (current) Drop(former_);
    sink_(listing);
  } catch (const std::exception& error) {
    if (counters_.bad_lines++ == 0)
      LogWarning("discovery_bad_line",
                 "discovery sent a line that cannot be used: " + std::string(error.what()),
                 {{"why", error.what()}});
  }
}

void DiscoveryWatch::Lost(const SessionPtr& session, const std::string& why) {
  if (stopped_) return;
  if (session == former_) return Drop(former_);
  if (session != session_) return;
  Drop(session_);
  silence_.cancel();
  ++counters_.lost;
  // Said once an outage: the tries that follow it are counted.
  if (pace_.failures() == 0) LogWarning("discovery_lost", "discovery watch lost: " + why, {{"why", why}});
  retry_.expires_after(std::chrono::microseconds(pace_.AfterFailure()));
  retry_.async_wait([this](std::error_code error) {
    if (!error && !stopped_) Connect();
  });
}

void DiscoveryWatch::Drop(SessionPtr& session) {
  std::error_code ignored;
  if (session) session->socket.close(ignored);
  session.reset();
}

void DiscoveryWatch::ArmSilence(const SessionPtr& session) {
  if (session != session_) return;  // the former watch ends with the new one's first word or its own end
  silence_.expires_after(kSilence);
  silence_.async_wait([this, session](std::error_code error) {
    if (!error) Lost(session, "no word in time");
  });
}

void DiscoveryWatch::Refresh() {
  version_ = 0;
  if (session_) Lost(session_, "the whole list is wanted");
}

void DiscoveryWatch::Redirect(const std::string& address) {
  if (host_.empty()) return;  // the registry is no source of this router's
  endpoint_ = ToEndpoint(address);
  host_ = address;
  version_ = 0;
  pace_.Heard();
  retry_.cancel();
  // Told twice in a row, before the first new address has said anything: the oldest one still has the list.
  if (!former_)
    former_ = session_;
  else
    Drop(session_);
  Connect();
}

void DiscoveryWatch::Stop() {
  stopped_ = true;
  silence_.cancel();
  retry_.cancel();
  Drop(session_);
  Drop(former_);
}

}  // namespace tulipyoke::net
