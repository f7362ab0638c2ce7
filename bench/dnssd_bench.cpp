// What DNS-SD costs: a turn of the loop while a zone arrives, a quiet zone a second, memory a record, and the
// time from a record's change to the list, by mode. The zones answer in virtual time; what is timed is the
// router's own code, but for the rows named Learn, whose figures are virtual time.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>

#include "src/membership/membership.hpp"
#include "standins/dns_network.hpp"

namespace {

using namespace tulipyoke;
using dnssd::BrowseMode;
using standins::DnsNetwork;
using standins::DnsZone;
using standins::Published;

constexpr const char* kZone = "derby.example.org";
constexpr Micros kSecond = 1'000'000;

std::vector<Published> Servers(std::size_t count) {
  std::vector<Published> servers;
  for (std::size_t i = 0; i < count; ++i) {
    servers.push_back({"readings-" + std::to_string(i),
                       "127.1." + std::to_string(i / 250) + ".1",
                       static_cast<std::uint16_t>(10'000 + i),
                       {"group=1", "started=1700000000000"},
                       30,
                       ""});
  }
  return servers;
}
dnssd::BrowserOptions Options(BrowseMode mode) {
  dnssd::BrowserOptions options;
  options.zone = kZone;
  options.mode = mode;
  return options;
}
std::vector<dnssd::Message> Transfer(DnsZone& zone) {
  std::vector<dnssd::Message> messages;
  const dnssd::Question whole{dnssd::CanonicalName(kZone), dnssd::RecordType::kAxfr};
  for (const std::string& bytes : zone.Answer(0, dnssd::EncodeQuery(1, whole), true)) {
    messages.push_back(*dnssd::ParseMessage(bytes));
  }
  return messages;
}

// One turn of the loop: all of a zone's records come in, become a list, and the membership takes it.
void TransferTurn(benchmark::State& state) {
  DnsZone zone(kZone);
  zone.Publish(Servers(static_cast<std::size_t>(state.range(0))));
  const auto soa =
      zone.Answer(0, dnssd::EncodeQuery(1, {dnssd::CanonicalName(kZone), dnssd::RecordType::kSoa}), false);
  const auto messages = Transfer(zone);
  double longest = 0;
  for (auto _ : state) {
    state.PauseTiming();
    auto browser = std::make_unique<dnssd::ZoneBrowser>(Options(BrowseMode::kTransfer));
    auto members =
        std::make_unique<membership::Membership>(membership::Options(), std::vector<std::string>{"derby"});
    browser->Tick(kSecond);
    browser->OnResult(kSecond,
                      {browser->TakeQueries().at(0).id, 0, std::nullopt, {*dnssd::ParseMessage(soa.at(0))}});
    const dnssd::QueryId ask = browser->TakeQueries().at(0).id;
    state.ResumeTiming();
    browser->OnResult(kSecond, {ask, 0, std::nullopt, messages});
    for (bool told = false; !told;) {
      const auto begun = std::chrono::steady_clock::now();
      browser->Tick(kSecond);
      if (const auto listing = browser->TakeListing()) {
        members->ApplyListing(kSecond, 0, *listing);
        told = true;
      }
      benchmark::DoNotOptimize(members->TakeListing());
      const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begun;
      longest = std::max(longest, took.count());
    }
    state.PauseTiming();
    browser.reset();
    members.reset();
    state.ResumeTiming();
  }
  state.counters["longest_turn_ms"] = longest;
}
BENCHMARK(TransferTurn)->Arg(10)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMillisecond);

// Reading the bytes of that, by ldns and into plain values.
void ReadZone(benchmark::State& state) {
  DnsZone zone(kZone);
  zone.Publish(Servers(static_cast<std::size_t>(state.range(0))));
  const dnssd::Question whole{dnssd::CanonicalName(kZone), dnssd::RecordType::kAxfr};
  const auto all = zone.Answer(0, dnssd::EncodeQuery(1, whole), true);
  for (auto _ : state) {
    for (const std::string& bytes : all) benchmark::DoNotOptimize(dnssd::ParseMessage(bytes));
  }
}
BENCHMARK(ReadZone)->Arg(10)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMillisecond);

// A quiet zone: questions a second, and the processor time of both sides for 10 s of it.
void Quiet(benchmark::State& state) {
  const auto mode = static_cast<BrowseMode>(state.range(0));
  DnsZone zone(kZone);
  zone.Publish(Servers(static_cast<std::size_t>(state.range(1))));
  DnsNetwork network(Options(mode), {&zone}, [](Micros, const EndpointList&) {});
  network.RunFor(60 * kSecond);
  const std::uint64_t before = network.messages;
  std::uint64_t seconds = 0;
  for (auto _ : state) {
    network.RunFor(10 * kSecond);
    seconds += 10;
  }
  state.counters["questions_a_s"] =
      static_cast<double>(network.messages - before) / static_cast<double>(seconds);
  state.counters["instances"] = static_cast<double>(network.browser.instances());
}
BENCHMARK(Quiet)
    ->ArgNames({"mode", "servers"})
    ->ArgsProduct({{0, 1, 2}, {10, 1000}})
    ->Args({2, 10'000})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(3);

// From a change of the zone to the list, over 400 changes at random moments.
void Learn(benchmark::State& state) {
  std::vector<double> waits;
  for (auto _ : state) {
    DnsZone zone(kZone);
    zone.Publish(Servers(40));
    Micros heard = 0;
    DnsNetwork network(Options(static_cast<BrowseMode>(state.range(0))), {&zone},
                       [&](Micros now, const EndpointList&) { heard = now; });
    network.RunFor(2 * kSecond);
    std::mt19937 random(1);
    for (int i = 0; i < 400; ++i) {
      network.RunFor(static_cast<Micros>(kSecond + random() % kSecond));
      const Micros changed = network.now();
      if (i % 2 == 0)
        zone.Withdraw({"readings-7"});
      else
        zone.Publish({Servers(8).at(7)});
      while (heard < changed) network.RunFor(1000);
      waits.push_back(static_cast<double>(heard - changed) / 1e3);
    }
  }
  std::sort(waits.begin(), waits.end());
  state.counters["p50_ms"] = waits[waits.size() / 2];
  state.counters["p99_ms"] = waits[waits.size() * 99 / 100];
  state.counters["worst_ms"] = waits.back();
}
BENCHMARK(Learn)->ArgName("mode")->Arg(0)->Arg(1)->Arg(2)->Unit(benchmark::kMillisecond)->Iterations(1);

void Memory(benchmark::State& state) {
  DnsZone zone(kZone);
  const auto count = static_cast<std::size_t>(state.range(0));
  zone.Publish(Servers(count));
  const auto soa =
      zone.Answer(0, dnssd::EncodeQuery(1, {dnssd::CanonicalName(kZone), dnssd::RecordType::kSoa}), false);
  auto messages = Transfer(zone);
  double bytes = 0;
  for (auto _ : state) {
    const std::size_t before = mallinfo2().uordblks;
    dnssd::ZoneBrowser browser(Options(BrowseMode::kTransfer));
    membership::Membership members(membership::Options(), {"derby"});
    browser.Tick(kSecond);
    browser.OnResult(kSecond,
                     {browser.TakeQueries().at(0).id, 0, std::nullopt, {*dnssd::ParseMessage(soa.at(0))}});
    browser.OnResult(kSecond, {browser.TakeQueries().at(0).id, 0, std::nullopt, messages});
    std::optional<EndpointList> listing;
    while (!(listing = browser.TakeListing())) browser.Tick(kSecond);
    members.ApplyListing(kSecond, 0, *listing);
    members.TakeListing();
    bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  state.counters["bytes_a_server"] = bytes / static_cast<double>(count);
}
BENCHMARK(Memory)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMillisecond)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
