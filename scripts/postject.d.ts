/** What the build uses of postject, which brings no types. */
declare module "postject" {
    export const inject: (
        file: string,
        resource: string,
        data: Buffer,
        options: { sentinelFuse: string },
    ) => Promise<void>;
}
