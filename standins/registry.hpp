// The platform's registry as a stand-in on loopback: one watch at a time, whose lines the test writes.
#ifndef TULIPYOKE_STANDINS_REGISTRY_HPP_
#define TULIPYOKE_STANDINS_REGISTRY_HPP_

#include <asio.hpp>
#include <memory>
#include <string>

#include "standins/loop.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::standins {

class Registry {
 public:
  explicit Registry(Loop& loop) : loop_(loop), acceptor_(loop.io(), Loopback(0)) {
    port_ = acceptor_.local_endpoint().port();
    loop_.Do([this] { Accept(); });
  }
  ~Registry() {
    std::error_code ignored;
    acceptor_.close(ignored);
    if (watch_) watch_->close(ignored);
  }
  std::uint16_t port() const { return port_; }
  // One line of the watch; the last whole list comes first to whoever watches anew.
  void Tell(const std::string& line, bool whole) {
    loop_.Do([&] {
      if (whole) whole_ = line;
      if (watch_) Write(Chunk(line));
    });
  }

 private:
  static std::string Chunk(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    return size + line + "\n\r\n";
  }
  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (error) return;
      watch_ = std::make_shared<tcp::socket>(std::move(socket));
      Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (whole_.empty() ? "" : Chunk(whole_)));
      Accept();
    });
  }
  void Write(const std::string& bytes) {
    std::error_code ignored;
    asio::write(*watch_, asio::buffer(bytes), ignored);
  }

  Loop& loop_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::shared_ptr<tcp::socket> watch_;
  std::string whole_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_REGISTRY_HPP_
