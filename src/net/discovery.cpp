#include "src/net/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>
#include <vector>

#include "src/config/listing_json.hpp"
#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::size_t kLongestValue = std::size_t{4} << 20;
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

int WatchParser::OnHeaders(http_parser* parser) {
  static_cast<WatchParser*>(parser->data)->begun_ = parser->status_code == 200;
  return parser->status_code == 200 ? 0 : -1;
}

int WatchParser::OnEnd(http_parser* parser) {
  static_cast<WatchParser*>(parser->data)->ended_ = true;
  return 0;
}

int WatchParser::OnBody(http_parser* parser, const char* at, std::size_t size) {
  auto& self = *static_cast<WatchParser*>(parser->data);
  for (const char c : std::string_view(at, size)) self.Take(c);
  return self.value_.size() > kLongestValue ? -1 : 0;
}

void WatchParser::Take(char c) {
  const bool line_ends = c == '\n', opens = c == '{' || c == '[';
  if (value_.empty()) {
    if (line_ends && std::exchange(blank_line_, true)) words_->emplace_back();
    if (c == ' ' || c == '\t' || c == '\r' || line_ends) return;
    blank_line_ = false;
    depth_ = opens ? 1 : 0;
    value_ = c;
    return;
  }
  // What is no value ends with its line; and no string holds the end of a line, so that a value that was cut
  // off in one is none and takes nothing of the next with it.
  if (line_ends && (depth_ == 0 || in_string_)) {
    blank_line_ = true;
    return EndValue();
  }
  value_ += c;
  if (in_string_) {
    if (c == '"' && !escaped_) in_string_ = false;
    escaped_ = c == '\\' && !escaped_;
  } else if (depth_ > 0) {
    in_string_ = c == '"';
    depth_ += opens ? 1 : c == '}' || c == ']' ? -1 : 0;
    if (depth_ == 0) EndValue();
  }
}

void WatchParser::EndValue() {
  words_->push_back(std::exchange(value_, {}));
  depth_ = 0;
  in_string_ = escaped_ = false;
}

bool WatchParser::Feed(std::string_view bytes, std::vector<std::string>& words) {
  words_ = &words;
  const std::size_t taken = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  words_ = nullptr;
  return taken == bytes.size() && HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !ended_;
}

struct DiscoveryWatch::Session {
  explicit Session(asio::io_context& io) : socket(io) {}

  asio::ip::tcp::socket socket;
  WatchParser parser;
  std::string request;
  bool missed = false;  // a word could not be used, and no whole list has come since
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
  silence_.ExpireAfter(std::chrono::microseconds(pace_.AnsweredWithin()),
                       [this, session] { Lost(session, "no answer in time"); });
  session->socket.async_connect(endpoint_, [this, session](std::error_code error) {
    if (session != session_) return;
    if (error) return Lost(session, error.message());
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
        std::vector<std::string> words;
        const bool waited = !session->parser.begun();
        const bool goes_on = session->parser.Feed(std::string_view(session->in.data(), size), words);
        if (waited && session->parser.begun()) ArmSilence(session);
        for (const std::string& word : words) Take(session, word);
        // What such a word would have told, a server that drains perhaps, is in the whole list.
        if (session->missed && session == session_) {
          version_ = 0;
          return Lost(session, "a word that cannot be used");
        }
        if (!goes_on) return Lost(session, "the answer ended or was no watch");
        Read(session);
      });
}

void DiscoveryWatch::Take(const SessionPtr& session, const std::string& word) {
  const bool current = session == session_;
  try {
    if (current && word.empty()) pace_.Heard();
    // Bytes that make no word say nothing: a watch on which only such come is as good as silent.
    if (word.empty()) return ArmSilence(session);
    const Listing listing = ParseListing(word);
    if (current) pace_.Heard();
    ArmSilence(session);
    // Versions of two addresses are not comparable: what the former one tells must not be asked of this one.
    if (current) version_ = listing.version;
    if (current) Drop(former_);
    session->missed = session->missed && !listing.complete;
    sink_(listing);
  } catch (const std::exception& error) {
    session->missed = true;
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
  silence_.Cancel();
  ++counters_.lost;
  // Said once an outage: the tries that follow it are counted.
  if (pace_.failures() == 0) LogWarning("discovery_lost", "discovery watch lost: " + why, {{"why", why}});
  retry_.ExpireAfter(std::chrono::microseconds(pace_.AfterFailure()), [this] { Connect(); });
}

void DiscoveryWatch::Drop(SessionPtr& session) {
  std::error_code ignored;
  if (session) session->socket.close(ignored);
  session.reset();
}

void DiscoveryWatch::ArmSilence(const SessionPtr& session) {
  if (session != session_) return;  // the former watch ends with the new one's first word or its own end
  silence_.ExpireAfter(std::chrono::microseconds(limits::ListPace::kSilentAfter),
                       [this, session] { Lost(session, "no word in time"); });
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
  retry_.Cancel();
  // Told twice in a row, before the first new address has said anything: the oldest one still has the list.
  if (!former_)
    former_ = session_;
  else
    Drop(session_);
  Connect();
}

void DiscoveryWatch::Stop() {
  stopped_ = true;
  silence_.Cancel();
  retry_.Cancel();
  Drop(session_);
  Drop(former_);
}

}  // namespace tulipyoke::net
