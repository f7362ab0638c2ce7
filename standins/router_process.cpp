#include "standins/router_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace tulipyoke::standins {
namespace {

constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr int kSignalBase = 128;  // as a shell reports it

int ToStatus(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : kSignalBase + WTERMSIG(wait_status);
}

}  // namespace

RouterSite::RouterSite() : acceptor_(io_) {
  std::string path = (std::filesystem::temp_directory_path() / "router-XXXXXX").string();
  if (!::mkdtemp(path.data())) throw std::runtime_error("cannot make a directory for the router");
  directory_ = path;
  acceptor_.open(asio::ip::tcp::v4());
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  acceptor_.bind({asio::ip::address_v4::loopback(), 0});
  acceptor_.listen(asio::socket_base::max_listen_connections);
}

RouterSite::~RouterSite() {
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

RouterProcess::RouterProcess(RouterSite& site, const std::string& program, const std::string& config) {
  static int next_file = 0;
  const std::string name = std::to_string(next_file++);
  const std::filesystem::path file = site.directory() / (name + ".json");
  log_ = site.directory() / (name + ".log");
  std::ofstream(file) << config;
  const std::vector<std::string> environment = {
      "LB_CONFIG=" + file.string(), "TMPDIR=" + site.directory().string(),
      "LB_ACCEPT_FD=" + std::to_string(site.listening_descriptor())};
  // All memory that the child needs is allocated before the fork: other threads may hold the allocator's
  // lock.
  std::vector<char*> variables;
  for (const std::string& variable : environment) variables.push_back(const_cast<char*>(variable.c_str()));
  variables.push_back(nullptr);
  std::array<char*, 2> arguments = {const_cast<char*>(program.c_str()), nullptr};
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot start a process");
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  ::fcntl(site.listening_descriptor(), F_SETFD, 0);
  const int output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execve(program.c_str(), arguments.data(), variables.data());
  ::_exit(1);
}

RouterProcess::~RouterProcess() {
  if (has_ended()) return;
  Signal(SIGKILL);
  Wait();
}

void RouterProcess::Signal(int signal) const {
  if (!ended_) ::kill(pid_, signal);
}

int RouterProcess::Wait() {
  int wait_status = 0;
  if (!ended_ && ::waitpid(pid_, &wait_status, 0) == pid_) {
    ended_ = true;
    status_ = ToStatus(wait_status);
  }
  return status_;
}

bool RouterProcess::has_ended() {
  int wait_status = 0;
  if (!ended_ && ::waitpid(pid_, &wait_status, WNOHANG) == pid_) {
    ended_ = true;
    status_ = ToStatus(wait_status);
  }
  return ended_;
}

std::size_t RouterProcess::MemoryOf(const std::string& field) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with(field)) continue;
    std::size_t kilobytes = 0;
    std::istringstream(line.substr(line.find(':') + 1)) >> kilobytes;
    return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

std::size_t RouterProcess::PeakMemory() const { return MemoryOf("VmHWM:"); }

std::size_t RouterProcess::ResidentMemory() const { return MemoryOf("VmRSS:"); }

}  // namespace tulipyoke::standins
