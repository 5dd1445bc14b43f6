#include "commands.hpp"

int main(int argc, char** argv) {
    return parsleypitch::standins::run({argv + 1, argv + argc});
}
