#include "src/cli/run_command.hpp"

#include <csignal>
#include <exception>

#include "src/cli/exit_status.hpp"
#include "src/config/config.hpp"
#include "src/log/log.hpp"
#include "src/server/server.hpp"

namespace tulipyoke::cli {
namespace {

// Blocks the signals that the server handles until it has installed its handlers: an earlier signal must not
// terminate the process.
class StartupSignalBlock {
 public:
  StartupSignalBlock() {
    sigset_t handled_signals;
    sigemptyset(&handled_signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&handled_signals, signal);
    sigprocmask(SIG_BLOCK, &handled_signals, &previous_mask_);
  }
  void Release() { sigprocmask(SIG_SETMASK, &previous_mask_, nullptr); }

 private:
  sigset_t previous_mask_;
};

LogFormat SelectLogFormat(const RunOptions& options, const Config& config) {
  const bool json = options.log_format.empty() ? config.log_json : options.log_format == "json";
  return json ? LogFormat::kJson : LogFormat::kText;
}

}  // namespace

int Run(const RunOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);  // the process that reads the log may exit before this one
  StartupSignalBlock signal_block;
  try {
    Config config = LoadConfig();
    config.trace = options.trace;
    SetLogFormat(SelectLogFormat(options, config));
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
