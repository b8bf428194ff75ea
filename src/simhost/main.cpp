// gorsemount_simhost: runs the decision module on the bench's wire, over standard input and output.
#include <exception>
#include <iostream>
#include <string>

#include "simhost/host.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  gorsemount::simhost::Host host;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    if (line.empty()) continue;
    try {
      std::cout << host.process_batch(line) << '\n' << std::flush;
    } catch (const std::exception& failure) {
      std::cerr << "gorsemount_simhost: line " << number << ": " << failure.what() << '\n';
      return 1;
    }
  }
  return 0;
}
