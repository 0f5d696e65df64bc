#include "core/standard_descriptors.h"

#include <fcntl.h>
#include <unistd.h>

#include <initializer_list>

namespace waxwing {

void openStandardDescriptors()
{
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        // The system opens a file with the lowest number that is free, which is this one.
        if (fcntl(descriptor, F_GETFD) == -1)
            static_cast<void>(open("/dev/null", O_RDWR));
    }
}

} // namespace waxwing
