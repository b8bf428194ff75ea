#include "app/ctl.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <optional>

#include "app/exit_codes.hpp"
#include "config/settings.hpp"
#include "core/address.hpp"
#include "net/fd.hpp"
#include "runtime_api/operator_console.hpp"

namespace gorsemount::app {

namespace {

net::Fd connect_to(const std::string& target) {
  if (const auto endpoint = Endpoint::parse(target); endpoint && !endpoint->address.v6) {
    net::Fd fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET, socket_address.sin_port = htons(endpoint->port);
    std::memcpy(&socket_address.sin_addr, endpoint->address.bytes.data(), 4);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) != 0)
      return {};
    return fd;
  }
  sockaddr_un socket_address{};
  socket_address.sun_family = AF_UNIX;
  if (target.size() >= sizeof socket_address.sun_path) {
    errno = ENAMETOOLONG;
    return {};
  }
  std::memcpy(socket_address.sun_path, target.data(), target.size());
  net::Fd fd{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) != 0)
    return {};
  return fd;
}

// Sends a command on a connection of its own and returns the response without the blank line at its end.
// nullopt: the connection failed.
std::optional<std::string> send_command(const std::string& target, const std::string& text) {
  const net::Fd fd = connect_to(target);
  if (!fd) return {};
  if (::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
    return {};
  std::string response;
  std::array<char, 65536> buffer;
  for (ssize_t n = 0; (n = ::recv(fd.get(), buffer.data(), buffer.size(), 0)) != 0;) {
    if (n < 0 && errno != EINTR) return {};
    if (n > 0) response.append(buffer.data(), static_cast<std::size_t>(n));
  }
  while (response.size() >= 2 && response.substr(response.size() - 2) == "\n\n") response.pop_back();
  if (response == "\n") response.clear();
  return response;
}

}  // namespace

int ctl(const CtlOptions& options) {
  if (options.complete) {
    for (const auto& line :
         runtime_api::OperatorConsole::complete(fmt::format("{}", fmt::join(options.words, " "))))
      std::printf("%s\n", line.c_str());
    return kExitSuccess;
  }
  if (options.socket.empty()) {
    std::fprintf(stderr, "ctl: the SOCKET argument is missing\n");
    return kExitUsageError;
  }
  std::string token;
  if (!options.token_file.empty()) {
    std::vector<hcl::Fault> faults;
    token = config::read_file(options.token_file, faults);
    token.erase(token.find_last_not_of(" \r\n") + 1);
    for (const auto& fault : faults) std::fprintf(stderr, "%s\n", fault.text().c_str());
    if (!faults.empty()) return kExitInvalidConfig;
  }
  int exit_code = kExitSuccess;
  const auto run_command = [&](const std::string& command) {
    // The token goes on the same line, since the server closes the connection after one line.
    const auto response =
        send_command(options.socket, (token.empty() ? "" : "token " + token + "; ") + command + "\n");
    if (!response) {
      std::fprintf(stderr, "%s: %s\n", options.socket.c_str(), std::strerror(errno));
      exit_code = kExitFailure;
      return;
    }
    const std::string text =
        !token.empty() && !response->empty() && response->front() == '\n' ? response->substr(1) : *response;
    std::fputs(text.c_str(), stdout);
    const bool is_query = command.starts_with("show ") || command == "help";
    const bool refused =
        is_query ? text.starts_with("Unknown") || text.starts_with("No ") || text.starts_with("Permission")
                 : !text.empty();
    if (refused) exit_code = kExitCommandRefused;
  };
  if (!options.words.empty()) {
    run_command(fmt::format("{}", fmt::join(options.words, " ")));
  } else {
    for (std::string line; exit_code != kExitFailure && std::getline(std::cin, line);) run_command(line);
  }
  return exit_code;
}

}  // namespace gorsemount::app
