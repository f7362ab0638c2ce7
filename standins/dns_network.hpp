// A browser, its resolvers and the zones that they ask, in virtual time: the program's own code on an
// emulated network that delays, loses and cuts off. For tests, fuzzing and measurements that need no sockets.
#ifndef TULIPYOKE_STANDINS_DNS_NETWORK_HPP_
#define TULIPYOKE_STANDINS_DNS_NETWORK_HPP_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/dnssd/browser.hpp"
#include "src/dnssd/retries.hpp"
#include "standins/dns_zone.hpp"

namespace tulipyoke::standins {

class DnsNetwork {
 public:
  using OnListing = std::function<void(Micros now, const EndpointList&)>;

  DnsNetwork(const dnssd::ZoneOptions& options, std::vector<DnsZone*> servers, OnListing on_listing,
             Micros delay = 500)
      : browser(options),
        resolvers(RetriesFor(servers.size())),
        servers_(std::move(servers)),
        cut_(servers_.size(), false),
        on_listing_(std::move(on_listing)),
        delay_(delay) {}

  // That server is cut off: nothing reaches it and nothing comes back.
  void Cut(std::size_t server, bool cut) { cut_[server] = cut; }
  Micros now() const { return now_; }
  // What there is to do until then, in order.
  void RunUntil(Micros end) {
    for (;;) {
      Pump();
      Micros next = browser.NextDue();
      if (!due_.empty()) next = std::min(next, due_.begin()->first);
      if (next > end) break;
      now_ = std::max(now_ + 1, next);
      while (!due_.empty() && due_.begin()->first <= now_) {
        const auto work = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        work();
      }
    }
    now_ = end;
  }
  void RunFor(Micros time) { RunUntil(now_ + time); }
  // Messages that reached servers, and bytes both ways.
  std::uint64_t messages = 0, bytes = 0;

  dnssd::ZoneBrowser browser;
  dnssd::Resolvers resolvers;

 private:
  static dnssd::RetryOptions RetriesFor(std::size_t count) {
    dnssd::RetryOptions options;
    options.resolvers = count;
    return options;
  }
  void At(Micros when, std::function<void()> work) { due_.emplace(when, std::move(work)); }
  void Pump() {
    for (bool moved = true; moved;) {
      moved = false;
      browser.Tick(now_);
      for (const dnssd::Ask& ask : browser.TakeAsks()) {
        resolvers.Ask(now_, ask.id, ask.question, ask.at, ask.serial);
        moved = true;
      }
      for (const dnssd::Transmission& t : resolvers.TakeTransmissions()) Transmit(t);
      for (const dnssd::Settled& settled : resolvers.TakeSettled()) {
        browser.Settle(now_, settled);
        moved = true;
      }
      for (const std::size_t server : browser.TakeDistrusted()) resolvers.Distrust(now_, server);
      if (const auto listing = browser.TakeListing()) on_listing_(now_, *listing);
    }
  }
  void Transmit(const dnssd::Transmission& t) {
    // A question that was answered, or is waited for no longer, passes over what comes then.
    At(t.give_up, [this, t] { resolvers.Failed(now_, t.ask, t.attempt, dnssd::Trouble::kTimeout); });
    if (cut_[t.resolver]) return;
    At(now_ + delay_, [this, t] {
      const bool stream = t.transport == dnssd::Transport::kStream;
      const auto id = static_cast<std::uint16_t>(t.ask);
      const std::string query = dnssd::WriteQuery(id, t.question, t.serial);
      ++messages;
      bytes += query.size();
      std::vector<dnssd::Message> answers;
      bool spoilt = false;
      for (const std::string& answer : servers_[t.resolver]->Answer(now_, query, stream)) {
        bytes += answer.size();
        auto message = dnssd::ReadMessage(answer);
        const bool asked = message && message->id == id && message->response &&
                           (message->question == t.question || (!message->question && !answers.empty()));
        if (asked) answers.push_back(std::move(*message));
        spoilt = spoilt || !asked;
      }
      // What answers no question is passed over; over TCP it ends the connection.
      if (answers.empty() && !(spoilt && stream)) return;
      At(now_ + delay_, [this, t, spoilt, answers = std::move(answers)] {
        if (spoilt) return resolvers.Failed(now_, t.ask, t.attempt, dnssd::Trouble::kSpoilt);
        resolvers.Answered(now_, t.ask, t.attempt, answers);
      });
    });
  }

  std::vector<DnsZone*> servers_;
  std::vector<bool> cut_;
  OnListing on_listing_;
  Micros delay_;
  Micros now_ = 1'000'000;
  std::multimap<Micros, std::function<void()>> due_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_DNS_NETWORK_HPP_
