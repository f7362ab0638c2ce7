// A zone browser, its stub resolver and the name servers that they query, in virtual time: the program's own
// code on an emulated network that delays and loses messages. For tests, fuzzing and benchmarks; no sockets.
#ifndef TULIPYOKE_STANDINS_DNS_NETWORK_HPP_
#define TULIPYOKE_STANDINS_DNS_NETWORK_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/dnssd/query.hpp"
#include "src/dnssd/stub_resolver.hpp"
#include "src/dnssd/zone_browser.hpp"
#include "standins/dns_zone.hpp"

namespace tulipyoke::standins {

class DnsNetwork {
 public:
  using OnListing = std::function<void(Micros now, const EndpointList&)>;

  // One resolver for each of `servers`, which must outlive the network. `delay`: of a message, each way.
  DnsNetwork(const dnssd::BrowserOptions& options, std::vector<DnsZone*> servers, OnListing on_listing,
             Micros delay = 500)
      : browser(options),
        resolver(ResolverOptions(servers.size())),
        servers_(std::move(servers)),
        disconnected_(servers_.size(), false),
        on_listing_(std::move(on_listing)),
        delay_(delay) {}

  // All messages to and from a disconnected server are lost.
  void SetDisconnected(std::size_t server, bool disconnected) { disconnected_[server] = disconnected; }
  Micros now() const { return now_; }
  // Runs what is due until then, in order.
  void RunUntil(Micros end) {
    for (;;) {
      Pump();
      Micros next = browser.NextDue();
      if (!scheduled_.empty()) next = std::min(next, scheduled_.begin()->first);
      if (next > end) break;
      now_ = std::max(now_ + 1, next);
      while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
        const auto action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action();
      }
    }
    now_ = end;
  }
  void RunFor(Micros time) { RunUntil(now_ + time); }

  std::uint64_t messages = 0;  // that reached servers
  std::uint64_t bytes = 0;     // both ways

  dnssd::ZoneBrowser browser;
  dnssd::StubResolver resolver;

 private:
  static dnssd::StubResolverOptions ResolverOptions(std::size_t count) {
    dnssd::StubResolverOptions options;
    options.resolver_count = count;
    return options;
  }
  void Schedule(Micros when, std::function<void()> action) { scheduled_.emplace(when, std::move(action)); }

  void Pump() {
    for (bool progressed = true; progressed;) {
      progressed = false;
      browser.Tick(now_);
      for (const dnssd::Query& query : browser.TakeQueries()) {
        resolver.Submit(now_, query);
        progressed = true;
      }
      for (const dnssd::Transmission& transmission : resolver.TakeTransmissions()) Transmit(transmission);
      for (const dnssd::QueryResult& result : resolver.TakeResults()) {
        browser.OnResult(now_, result);
        progressed = true;
      }
      for (const std::size_t server : browser.TakeStaleResolvers()) resolver.MarkStale(now_, server);
      if (const std::optional<EndpointList> listing = browser.TakeListing()) on_listing_(now_, *listing);
    }
  }

  void Transmit(const dnssd::Transmission& transmission) {
    // The resolver ignores this where the attempt is over by then.
    Schedule(transmission.deadline, [this, transmission] {
      resolver.OnFailure(now_, transmission.query, transmission.attempt, dnssd::QueryError::kTimeout);
    });
    if (disconnected_[transmission.resolver]) return;
    Schedule(now_ + delay_, [this, transmission] { Answer(transmission); });
  }

  // What the server sends back, as the transport would pass it on.
  void Answer(const dnssd::Transmission& transmission) {
    const bool tcp = transmission.transport == dnssd::Transport::kTcp;
    const auto id = static_cast<std::uint16_t>(transmission.query);
    const std::string query = dnssd::EncodeQuery(id, transmission.question, transmission.serial);
    ++messages;
    bytes += query.size();
    std::vector<dnssd::Message> answers;
    bool malformed = false;
    for (const std::string& answer : servers_[transmission.resolver]->Answer(now_, query, tcp)) {
      bytes += answer.size();
      std::optional<dnssd::Message> message = dnssd::ParseMessage(answer);
      const bool matches =
          message && message->id == id && message->response &&
          (message->question == transmission.question || (!message->question && !answers.empty()));
      if (matches) answers.push_back(std::move(*message));
      malformed = malformed || !matches;
    }
    // A datagram that answers no query is ignored; over TCP it ends the connection.
    if (answers.empty() && !(malformed && tcp)) return;
    Schedule(now_ + delay_, [this, transmission, malformed, answers = std::move(answers)] {
      if (malformed)
        resolver.OnFailure(now_, transmission.query, transmission.attempt, dnssd::QueryError::kMalformed);
      else
        resolver.OnResponse(now_, transmission.query, transmission.attempt, answers);
    });
  }

  std::vector<DnsZone*> servers_;
  std::vector<bool> disconnected_;
  OnListing on_listing_;
  Micros delay_;
  Micros now_ = 1'000'000;
  std::multimap<Micros, std::function<void()>> scheduled_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_DNS_NETWORK_HPP_
