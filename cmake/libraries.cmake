# One target for each library: topaztack_library(NAME [FOLDER ...] [DEPENDS ...]) takes src/NAME/**.cpp, or the sources
# below FOLDER.

function(topaztack_library name)
    cmake_parse_arguments(ARG "" "FOLDER" "DEPENDS" ${ARGN})
    if(NOT ARG_FOLDER)
        set(ARG_FOLDER "src/${name}")
    endif()
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/${ARG_FOLDER}/*.cpp")
    add_library(topaztack-${name} STATIC ${sources})
    target_include_directories(topaztack-${name} PUBLIC "${PROJECT_SOURCE_DIR}/include")
    target_link_libraries(topaztack-${name} PUBLIC ${ARG_DEPENDS})
endfunction()

topaztack_library(base DEPENDS Boost::headers Boost::json Boost::log Threads::Threads PkgConfig::URCU)
topaztack_library(policy DEPENDS topaztack-base)
topaztack_library(samples DEPENDS topaztack-base)
topaztack_library(control DEPENDS topaztack-base OpenSSL::Crypto)
topaztack_library(wire DEPENDS topaztack-base topaztack-control topaztack-samples OpenSSL::SSL OpenSSL::Crypto PkgConfig::THRIFT)
topaztack_library(node DEPENDS topaztack-policy topaztack-samples topaztack-control topaztack-wire)
topaztack_library(gateway DEPENDS topaztack-policy topaztack-samples topaztack-control topaztack-wire)
# The users' platform: nothing else depends on it but the daemon and the command that checks configurations.
topaztack_library(platform FOLDER platform DEPENDS topaztack-gateway)
target_include_directories(topaztack-platform PUBLIC "${PROJECT_SOURCE_DIR}")
