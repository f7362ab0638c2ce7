// A DNS-SD responder on loopback: one zone over UDP and TCP, driven by a script of timed steps.
#ifndef TULIPYOKE_STANDINS_DNS_RESPONDER_HPP_
#define TULIPYOKE_STANDINS_DNS_RESPONDER_HPP_

#include <array>
#include <asio.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "standins/dns_zone.hpp"
#include "standins/loop.hpp"

namespace tulipyoke::standins {

class DnsResponder {
 public:
  DnsResponder(Loop& loop, const std::string& zone, const std::string& service = "_readings._tcp");
  ~DnsResponder();

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // What the zone has, from any thread.
  void Publish(const std::vector<Published>& servers);
  void Withdraw(const std::vector<std::string>& labels);
  void WithdrawAll();
  void AddRecord(const std::string& record);
  void Freeze(bool frozen);
  void SetSerial(std::uint32_t serial);
  void SetFault(DnsFault fault);
  void SetAdditional(bool on);
  std::vector<DnsAsked> asked();
  std::uint32_t serial();
  // The words publish, withdraw, silent, servfail and well.
  void Register(Script& script);

 private:
  struct Stream;
  void ReadDatagram();
  void Accept();
  void ReadStream(const std::shared_ptr<Stream>& stream);

  Loop& loop_;
  DnsZone zone_;
  asio::ip::udp::socket datagrams_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::array<char, 65536> in_{};
  asio::ip::udp::endpoint from_;
  std::set<std::shared_ptr<Stream>> streams_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_DNS_RESPONDER_HPP_
