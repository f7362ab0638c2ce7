#include "standins/dns_responder.hpp"

#include <stdexcept>

namespace tulipyoke::standins {

using asio::ip::tcp;
using asio::ip::udp;

struct DnsResponder::Stream {
  explicit Stream(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::string in, out;
};

DnsResponder::DnsResponder(Loop& loop, const std::string& zone, const std::string& service)
    : loop_(loop), zone_(zone, service), datagrams_(loop.io()), acceptor_(loop.io()) {
  // One port for both; where the other protocol has it taken, another one.
  for (int tries = 0;; ++tries) {
    std::error_code error;
    acceptor_ = tcp::acceptor(loop.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    port_ = acceptor_.local_endpoint().port();
    datagrams_ = udp::socket(loop.io());
    datagrams_.open(udp::v4());
    datagrams_.bind(udp::endpoint(asio::ip::address_v4::loopback(), port_), error);
    if (!error) break;
    if (tries > 20) throw std::runtime_error("no port for the responder");
  }
  loop_.Do([this] {
    ReadDatagram();
    Accept();
  });
}

DnsResponder::~DnsResponder() {
  std::error_code ignored;
  datagrams_.close(ignored);
  acceptor_.close(ignored);
  for (const auto& stream : streams_) stream->socket.close(ignored);
}

void DnsResponder::Publish(const std::vector<Published>& servers) {
  loop_.Do([&] { zone_.Publish(servers); });
}
void DnsResponder::Withdraw(const std::vector<std::string>& labels) {
  loop_.Do([&] { zone_.Withdraw(labels); });
}
void DnsResponder::WithdrawAll() {
  loop_.Do([&] { zone_.WithdrawAll(); });
}
void DnsResponder::AddRecord(const std::string& record) {
  loop_.Do([&] { zone_.AddRecord(record); });
}
void DnsResponder::Freeze(bool frozen) {
  loop_.Do([&] { zone_.Freeze(frozen); });
}
void DnsResponder::SetSerial(std::uint32_t serial) {
  loop_.Do([&] { zone_.SetSerial(serial); });
}
void DnsResponder::SetFault(DnsFault fault) {
  loop_.Do([&] { zone_.SetFault(fault); });
}
void DnsResponder::SetAdditional(bool on) {
  loop_.Do([&] { zone_.SetAdditional(on); });
}
std::vector<DnsAsked> DnsResponder::asked() {
  return loop_.Do([&] { return zone_.asked(); });
}
std::uint32_t DnsResponder::serial() {
  return loop_.Do([&] { return zone_.serial(); });
}

void DnsResponder::Register(Script& script) {
  using Json = nlohmann::json;
  script.On("publish", [this](const Json& step) {
    std::vector<Published> servers;
    for (const Json& item : step.at("servers")) {
      servers.push_back({item.at("label"), item.value("address", "127.0.0.1"), item.at("port"),
                         item.value("text", std::vector<std::string>()), item.value("ttl", 10u), ""});
    }
    zone_.Publish(servers);
  });
  script.On("withdraw", [this](const Json& step) { zone_.Withdraw(step.at("labels")); });
  script.On("silent", [this](const Json&) { zone_.SetFault(DnsFault::kSilent); });
  script.On("servfail", [this](const Json&) { zone_.SetFault(DnsFault::kServFail); });
  script.On("well", [this](const Json&) { zone_.SetFault(DnsFault::kNone); });
}

void DnsResponder::ReadDatagram() {
  datagrams_.async_receive_from(asio::buffer(in_), from_, [this](std::error_code error, std::size_t size) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      for (const std::string& bytes : zone_.Answer(Loop::Now(), std::string_view(in_.data(), size), false)) {
        std::error_code ignored;
        datagrams_.send_to(asio::buffer(bytes), from_, 0, ignored);
      }
    }
    ReadDatagram();
  });
}

void DnsResponder::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    const auto stream = std::make_shared<Stream>(std::move(socket));
    streams_.insert(stream);
    ReadStream(stream);
    Accept();
  });
}

void DnsResponder::ReadStream(const std::shared_ptr<Stream>& stream) {
  stream->in.resize(2);
  asio::async_read(
      stream->socket, asio::buffer(stream->in), [this, stream](std::error_code error, std::size_t) {
        if (error) return static_cast<void>(streams_.erase(stream));
        const auto high = static_cast<unsigned char>(stream->in[0]);
        const auto low = static_cast<unsigned char>(stream->in[1]);
        stream->in.resize(static_cast<std::size_t>(high) << 8 | low);
        asio::async_read(stream->socket, asio::buffer(stream->in),
                         [this, stream](std::error_code failed, std::size_t) {
                           if (failed) return static_cast<void>(streams_.erase(stream));
                           stream->out.clear();
                           for (const std::string& bytes : zone_.Answer(Loop::Now(), stream->in, true)) {
                             stream->out += static_cast<char>(bytes.size() >> 8);
                             stream->out += static_cast<char>(bytes.size() & 0xff);
                             stream->out += bytes;
                           }
                           asio::async_write(stream->socket, asio::buffer(stream->out),
                                             [this, stream](std::error_code broken, std::size_t) {
                                               if (broken) return static_cast<void>(streams_.erase(stream));
                                               ReadStream(stream);
                                             });
                         });
      });
}

}  // namespace tulipyoke::standins
