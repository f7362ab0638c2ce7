// A router program in a process of its own, on a listening socket that further processes of the router can
// share.
#ifndef TULIPYOKE_STANDINS_ROUTER_PROCESS_HPP_
#define TULIPYOKE_STANDINS_ROUTER_PROCESS_HPP_

#include <sys/types.h>

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace tulipyoke::standins {

// The client and admin sockets of one router and the directory in which its processes meet. Removes the
// directory when it is destroyed.
class RouterSite {
 public:
  RouterSite();
  ~RouterSite();
  RouterSite(const RouterSite&) = delete;
  RouterSite& operator=(const RouterSite&) = delete;

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  int listening_descriptor() { return acceptor_.native_handle(); }
  const std::filesystem::path& directory() const { return directory_; }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::filesystem::path directory_;
};

// Ends the process when it is destroyed.
class RouterProcess {
 public:
  // `config` is the configuration as JSON. Throws std::runtime_error if the program cannot be started.
  RouterProcess(RouterSite& site, const std::string& program, const std::string& config);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  void Signal(int signal) const;
  // Waits for the end of the process. Returns its exit status, or 128 and the signal that ended it.
  int Wait();
  bool has_ended();
  // The most memory that the process has had resident so far, in bytes; 0 once it has ended.
  std::size_t PeakMemory() const;
  // The memory that is resident now, in bytes; 0 once it has ended.
  std::size_t ResidentMemory() const;
  // The file that holds what the process has printed.
  const std::filesystem::path& log() const { return log_; }

 private:
  // A figure that the system tells of the process under the name `field`, in bytes.
  std::size_t MemoryOf(const std::string& field) const;

  std::filesystem::path log_;
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_ROUTER_PROCESS_HPP_
