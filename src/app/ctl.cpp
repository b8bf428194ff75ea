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

net::Fd dial(const std::string& where) {
  if (const auto at = Endpoint::parse(where); at && !at->address.v6) {
    net::Fd fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_port = htons(at->port);
    std::memcpy(&a.sin_addr, at->address.bytes.data(), 4);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) return {};
    return fd;
  }
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (where.size() >= sizeof a.sun_path) {
    errno = ENAMETOOLONG;
    return {};
  }
  std::memcpy(a.sun_path, where.data(), where.size());
  net::Fd fd{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) return {};
  return fd;
}

// One command in one-shot form; its answer without the blank line at the end. Empty: the stream broke.
std::optional<std::string> ask(const std::string& where, const std::string& text) {
  const net::Fd fd = dial(where);
  if (!fd) return {};
  if (::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
    return {};
  std::string out;
  std::array<char, 65536> part;
  for (ssize_t n = 0; (n = ::recv(fd.get(), part.data(), part.size(), 0)) != 0;) {
    if (n < 0 && errno != EINTR) return {};
    if (n > 0) out.append(part.data(), static_cast<std::size_t>(n));
  }
  while (out.size() >= 2 && out.substr(out.size() - 2) == "\n\n") out.pop_back();
  if (out == "\n") out.clear();
  return out;
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
    std::fprintf(stderr, "ctl: SOCKET is missing\n");
    return kExitUsageError;
  }
  std::string token;
  if (!options.token_file.empty()) {
    std::vector<hcl::Fault> faults;
    token = config::read_file(options.token_file, faults);
    token.erase(token.find_last_not_of(" \r\n") + 1);
    for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
    if (!faults.empty()) return kExitInvalidConfig;
  }
  int code = kExitSuccess;
  const auto one = [&](const std::string& command) {
    // The token goes in the same line, since one-shot streams end with it.
    const auto answer = ask(options.socket, (token.empty() ? "" : "token " + token + "; ") + command + "\n");
    if (!answer) {
      std::fprintf(stderr, "%s: %s\n", options.socket.c_str(), std::strerror(errno));
      code = kExitFailure;
      return;
    }
    const std::string text =
        !token.empty() && !answer->empty() && answer->front() == '\n' ? answer->substr(1) : *answer;
    std::fputs(text.c_str(), stdout);
    const bool shows = command.starts_with("show ") || command == "help";
    const bool refused =
        shows ? text.starts_with("Unknown") || text.starts_with("No ") || text.starts_with("Permission")
              : !text.empty();
    if (refused) code = kExitCommandRefused;
  };
  if (!options.words.empty()) {
    one(fmt::format("{}", fmt::join(options.words, " ")));
  } else {
    for (std::string line; code != kExitFailure && std::getline(std::cin, line);) one(line);
  }
  return code;
}

}  // namespace gorsemount::app
