/** The part of postject that the build uses. The package has no types of its own. */
declare module "postject" {
    export const inject: (
        file: string,
        resource: string,
        data: Buffer,
        options: { sentinelFuse: string },
    ) => Promise<void>;
}
