# Language level, warnings and sanitizers for every target of the project.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release)
endif()

find_program(TOPAZTACK_CCACHE ccache)
if(TOPAZTACK_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${TOPAZTACK_CCACHE}")
endif()

set(TOPAZTACK_SANITIZER "" CACHE STRING "Empty, address or thread")
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # False alarms of g++ 12 on std::string.
    add_compile_options(-Wno-restrict)
endif()
if(TOPAZTACK_SANITIZER STREQUAL "address")
    add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
elseif(TOPAZTACK_SANITIZER STREQUAL "thread")
    # g++ 12 warns of fences that Asio does not use for the data it guards by locks.
    add_compile_options(-fsanitize=thread -fno-omit-frame-pointer -Wno-tsan)
    add_link_options(-fsanitize=thread)
endif()
