#include "src/cli/run_command.hpp"

#include <csignal>
#include <exception>

#include "src/cli/exit_status.hpp"
#include "src/config/config.hpp"
#include "src/log/log.hpp"
#include "src/server/server.hpp"

namespace tulipyoke::cli {
namespace {

// Signals that the server handles are blocked until it does: one that comes earlier must not end the process.
class StartupSignalBlock {
 public:
  StartupSignalBlock() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&handled, signal);
    sigprocmask(SIG_BLOCK, &handled, &previous_);
  }
  void Release() { sigprocmask(SIG_SETMASK, &previous_, nullptr); }

 private:
  sigset_t previous_;
};

LogFormat LogFormatOf(const RunOptions& options, const Config& config) {
  const bool json = options.log_format.empty() ? config.log_json : options.log_format == "json";
  return json ? LogFormat::kJson : LogFormat::kText;
}

}  // namespace

int Run(const RunOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);  // the reader of the log may end before this process
  StartupSignalBlock signal_block;
  try {
    Config config = LoadConfig();
    config.trace = options.trace;
    SetLogFormat(LogFormatOf(options, config));
    net::Server server(config);
    signal_block.Release();
    server.Run();
    return kExitSuccess;
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "cannot_start", error.what());
    return kExitFailure;
  }
}

}  // namespace tulipyoke::cli
