// Writes the seeds of the corpus: what a right server answers to the browser's questions, in every mode.
#include <fstream>
#include <iostream>
#include <string>

#include "standins/dns_network.hpp"

namespace {

using namespace tulipyoke;

std::string Chunk(const std::string& bytes) {
  return std::string{static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 0xff)} + bytes;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: make_corpus FOLDER\n";
    return 1;
  }
  for (int mode = 0; mode < 3; ++mode) {
    standins::DnsZone zone("derby.example.org");
    zone.Publish({{"a", "127.0.0.1", 7001, {"group=1", "started=1700000000000", "size=2"}, 10, ""},
                  {"K\\195\\182ln\\.Nord", "::1", 7002, {"state=terminating", "id=s-1"}, 1, ""}});
    dnssd::ZoneOptions options;
    options.zone = "derby.example.org";
    options.mode = static_cast<dnssd::Mode>(mode);
    dnssd::ZoneBrowser browser(options);
    std::string seed(1, static_cast<char>(mode));
    Micros now = 1'000'000;
    for (int step = 0; step < 24; ++step) {
      if (step == 12) zone.Withdraw({"a"});
      browser.Tick(now);
      const auto asks = browser.TakeAsks();
      if (asks.empty()) now = browser.NextDue();
      for (const dnssd::Ask& ask : asks) {
        const std::string query = dnssd::WriteQuery(7, ask.question, ask.serial);
        const std::string answer = zone.Answer(now, query, true).at(0);
        seed += Chunk(answer);
        browser.Settle(now += 1000, {ask.id, 0, dnssd::Trouble::kNone, {*dnssd::ReadMessage(answer)}});
      }
      browser.TakeListing();
    }
    std::ofstream(std::string(argv[1]) + "/mode-" + std::to_string(mode), std::ios::binary) << seed;
  }
  return 0;
}
