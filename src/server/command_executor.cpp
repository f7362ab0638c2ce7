#include "src/server/command_executor.hpp"

#include <string>
#include <variant>
#include <vector>

#include "src/log/log.hpp"

namespace tulipyoke::net {

CommandExecutor::CommandExecutor(Dispatcher& dispatcher, UpstreamPool& pool, ClientListener& listener,
                                 discovery::RegistryWatch& registry_watch, HotRestartCoordinator& hot_restart)
    : dispatcher_(dispatcher),
      pool_(pool),
      listener_(listener),
      registry_watch_(registry_watch),
      hot_restart_(hot_restart) {}

void CommandExecutor::ExecuteAll() {
  std::vector<Command> commands = dispatcher_.TakeCommands();
  while (!commands.empty()) {
    for (const Command& command : commands) {
      std::visit([this](const auto& concrete_command) { Execute(concrete_command); }, command);
    }
    commands = dispatcher_.TakeCommands();
  }
}

void CommandExecutor::Execute(const StartAttempt& command) { pool_.Start(command); }

void CommandExecutor::Execute(const StartProbe& command) { pool_.Start(command); }

void CommandExecutor::Execute(const CancelOperation& command) { pool_.Cancel(command.operation_id); }

void CommandExecutor::Execute(const SetAddress& command) {
  pool_.SetAddress(command.server, command.address);
}

void CommandExecutor::Execute(const RemoveServer& command) { pool_.RemoveServer(command.server); }

void CommandExecutor::Execute(const CloseIdleConnections& command) { pool_.CloseIdle(command.server); }

void CommandExecutor::Execute(const SendResponse& command) {
  listener_.Deliver(command.id, command.response);
}

void CommandExecutor::Execute(const RefreshEndpointList&) { registry_watch_.Refresh(); }

void CommandExecutor::Execute(const ReplicateToPeer& command) {
  std::visit([this](const auto& message) { hot_restart_.Broadcast(message); }, command.update);
}

void CommandExecutor::Execute(const WriteLog& command) { LogInfo("decision", "decisions: " + command.text); }

void CommandExecutor::Execute(const TraceStep& command) {
  LogInfo("trace", "trace: at=" + std::to_string(command.when) + " " + ToText(command.event));
}

}  // namespace tulipyoke::net
